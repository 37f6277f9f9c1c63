use crate::{AnnouncedEntry, EntryAnnouncement, EntryDifference, ViewVersion};

/// Maximum number of slots that a view may have. Bounds the memory that a malformed message can claim.
const MAX_SLOTS: usize = 1 << 16;

/// The entries that another replica knows, as of its last reply.
#[derive(Clone, Debug, Default)]
pub(crate) struct PeerEntries {
    version: Option<ViewVersion>,
    slots: Vec<Option<EntryAnnouncement>>,
}

impl PeerEntries {
    /// The version held, which the next request names.
    pub(crate) fn version(&self) -> Option<ViewVersion> {
        self.version
    }

    /// Applies a difference and returns all entries of the peer with their ages. Returns nothing if the
    /// difference belongs to another version than the one held; the next request then asks for the
    /// whole view.
    pub(crate) fn apply(&mut self, difference: EntryDifference) -> Vec<AnnouncedEntry> {
        let base = ViewVersion {
            view: difference.version.view,
            revision: difference.base,
        };
        if difference.base == 0 {
            self.slots.clear();
        } else if self.version != Some(base) {
            self.version = None;
            return Vec::new();
        }
        for change in difference.changed {
            let slot = change.slot as usize;
            if slot >= MAX_SLOTS {
                continue;
            }
            if slot >= self.slots.len() {
                self.slots.resize(slot + 1, None);
            }
            self.slots[slot] = change.entry;
        }
        self.version = Some(difference.version);
        let announced = self.slots.iter().zip(&difference.ages);
        announced
            .filter_map(|(entry, age)| {
                Some(AnnouncedEntry {
                    entry: entry.clone()?,
                    age: age.get()?,
                })
            })
            .collect()
    }
}
