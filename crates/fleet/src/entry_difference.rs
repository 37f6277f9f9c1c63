use crate::EntryAnnouncement;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Version of the entries that a replica knows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViewVersion {
    /// Random number drawn at the start of the replica's process. Revisions of different processes
    /// cannot be compared.
    pub view: u64,
    /// Number of changes since the start of the process.
    pub revision: u64,
}

/// The entry in one slot of a replica's view.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotChange {
    /// Position in the view.
    pub slot: u32,
    /// The latest announcement; `None` if the slot is no longer used.
    pub entry: Option<EntryAnnouncement>,
}

/// What has changed in a replica's view of the entries, and the ages of all announcements.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryDifference {
    /// Version of the view after the changes.
    pub version: ViewVersion,
    /// Revision to which the changes apply; zero if they make up the whole view.
    pub base: u64,
    /// The changed slots.
    pub changed: Vec<SlotChange>,
    /// Ages of the announcements when the difference was sent, by slot.
    pub ages: Vec<AnnouncementAge>,
}

/// Age of an announcement, rounded up to 50 ms so that it fits into one byte.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnnouncementAge(u8);

impl AnnouncementAge {
    /// Stands for unused slots and for all ages that do not fit.
    pub const UNKNOWN: AnnouncementAge = AnnouncementAge(u8::MAX);

    const UNIT_MS: u128 = 50;

    /// Rounds an age up. An announcement must not seem newer with each exchange.
    pub fn new(age: Duration) -> Self {
        let units = age.as_micros().div_ceil(Self::UNIT_MS * 1000);
        u8::try_from(units).map_or(Self::UNKNOWN, AnnouncementAge)
    }

    /// The rounded age, if it is known.
    pub fn get(self) -> Option<Duration> {
        let unit = Duration::from_millis(Self::UNIT_MS as u64);
        (self != Self::UNKNOWN).then(|| unit * u32::from(self.0))
    }
}
