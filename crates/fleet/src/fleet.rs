use crate::endpoint_history::EndpointHistory;
use crate::entry_table::{EntryTable, KnownEntry};
use crate::peer_entries::PeerEntries;
use crate::{EndpointList, EntryAnnouncement};
use std::collections::BTreeMap;
use std::time::Duration;

mod lookup;
mod merge;
mod respond;

pub use lookup::{CallerLocation, EntryLookup};

/// Time after the last announcement of an entry at which it no longer counts as live. Entries
/// announce themselves about every 0.7 s, and an announcement takes another second to reach every
/// replica.
const ENTRY_TIMEOUT: Duration = Duration::from_millis(3000);

/// Another replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct PeerKey(pub u32);

/// What a replica holds of another replica's view.
#[derive(Clone, Debug, Default)]
struct Peer {
    entries: PeerEntries,
    /// When the last reply arrived.
    replied_at: Duration,
}

/// Numbers of endpoint lists that were sent in replies.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SentLists {
    /// Whole lists.
    pub whole: u64,
    /// Differences to the list that the requester held.
    pub differences: u64,
}

/// Entries and endpoints known to one control replica.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    entries: EntryTable,
    list: Option<EndpointList>,
    history: EndpointHistory,
    /// Whether a difference did not lead to the list of its sender, so that the whole list is needed.
    whole_list_needed: bool,
    peers: BTreeMap<PeerKey, Peer>,
    sent_lists: SentLists,
    /// When the first announcement was received.
    first_announcement_at: Option<Duration>,
}

impl Fleet {
    /// Creates an empty view. `view` is a random number that tells it apart from the view of an earlier
    /// process of the replica.
    pub fn new(view: u64) -> Self {
        Fleet {
            entries: EntryTable::new(view),
            ..Fleet::default()
        }
    }

    /// Records an announcement made `age` ago. It is ignored if the known announcement of the entry
    /// is as new or newer.
    pub fn record_announcement(&mut self, now: Duration, entry: EntryAnnouncement, age: Duration) {
        self.first_announcement_at.get_or_insert(now);
        self.entries.record(entry, now.saturating_sub(age));
        self.entries.expire(now);
    }

    /// Replaces the endpoint list unless the current one is as new or newer. Cold starts that ended
    /// lately are kept, for entries that have not heard of them.
    pub fn set_endpoint_list(&mut self, mut list: EndpointList) {
        if let Some(known) = &self.list {
            list.inherit_cold_starts(known);
        }
        self.replace_list(list);
    }

    /// The endpoint list, if there is one.
    pub fn endpoint_list(&self) -> Option<&EndpointList> {
        self.list.as_ref()
    }

    /// Age of the endpoint list.
    pub fn endpoint_list_age(&self, now: Duration) -> Option<Duration> {
        let list = self.list.as_ref()?;
        Some(now.saturating_sub(list.read_at))
    }

    /// Numbers of endpoint lists that were sent to entries and replicas.
    pub fn sent_lists(&self) -> SentLists {
        self.sent_lists
    }

    /// Replaces the list unless the current one is as new or newer.
    fn replace_list(&mut self, list: EndpointList) {
        match &self.list {
            Some(known) if known.read_at >= list.read_at => return,
            Some(known) => self.history.record(known, &list),
            None => {}
        }
        self.list = Some(list);
        self.whole_list_needed = false;
    }

    /// Number of live entries in the deployment.
    pub fn live_entries(&self, now: Duration) -> u32 {
        let live = self.entries.iter().filter(|k| Self::is_live(now, k));
        live.count() as u32
    }

    fn is_live(now: Duration, known: &KnownEntry) -> bool {
        now.saturating_sub(known.announced_at) < ENTRY_TIMEOUT
    }
}
