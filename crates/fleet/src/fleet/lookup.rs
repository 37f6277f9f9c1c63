use super::{ENTRY_TIMEOUT, Fleet};
use crate::EntryAnnouncement;
use std::net::SocketAddr;
use std::time::Duration;

/// Minimum number of entries in a caller's failure domain for which the caller is directed only to
/// these. With fewer, the loss of one entry would leave its callers without an alternative until
/// their next lookup.
const MIN_DOMAIN_ENTRIES: usize = 2;

/// Maximum number of addresses in a lookup result.
const MAX_ADDRESSES: usize = 64;

/// Maximum time to live of a lookup result while the view may lack entries closer to the caller. It
/// is short because otherwise, after a restart, all callers of a deployment would stay with the few
/// entries that started first.
const INCOMPLETE_VIEW_TTL: Duration = Duration::from_millis(500);

/// Time after the first announcement during which a lookup is better answered a little later. After a loss
/// of all processes the entries announce themselves at about the same time, and callers would otherwise
/// all be directed to the first one.
const SETTLING_TIME: Duration = Duration::from_millis(200);

/// Location of a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerLocation {
    /// Name of the caller's region.
    pub region: String,
    /// Name of the caller's failure domain.
    pub failure_domain: String,
}

/// Result of a lookup: the entries that a caller should connect to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryLookup {
    /// Public addresses of the entries.
    pub addresses: Vec<SocketAddr>,
    /// How long the caller may cache the addresses.
    pub time_to_live: Duration,
}

impl Fleet {
    /// Returns the entries that a caller should connect to: those of its failure domain if there
    /// are enough, otherwise those of its region, otherwise all. Entries that are not live, or that
    /// do not accept callers, are returned only if there are no others. The time to live is
    /// `max_time_to_live`, or less if the view may soon yield a better result.
    pub fn lookup_entries(
        &self,
        now: Duration,
        caller: &CallerLocation,
        max_time_to_live: Duration,
    ) -> EntryLookup {
        let (addresses, nearby) = self.addresses_for(now, caller);
        let time_to_live = match nearby && !self.is_incomplete(now) {
            true => max_time_to_live,
            false => max_time_to_live.min(INCOMPLETE_VIEW_TTL),
        };
        EntryLookup {
            addresses,
            time_to_live,
        }
    }

    /// Whether no entry is known yet, or the first one was announced so recently that others are likely to
    /// follow at once.
    pub fn is_settling(&self, now: Duration) -> bool {
        self.first_announcement_at
            .is_none_or(|at| now < at + SETTLING_TIME)
    }

    /// Whether the view may still lack entries, because the first one was announced recently.
    pub fn is_incomplete(&self, now: Duration) -> bool {
        self.first_announcement_at
            .is_none_or(|at| now < at + ENTRY_TIMEOUT)
    }

    /// Returns the addresses of the entries for a caller, and whether these are in its region.
    fn addresses_for(&self, now: Duration, caller: &CallerLocation) -> (Vec<SocketAddr>, bool) {
        let alive: Vec<&EntryAnnouncement> = (self.entries.iter())
            .filter(|k| Self::is_live(now, k))
            .map(|k| &k.entry)
            .collect();
        let accepting: Vec<_> = alive.iter().copied().filter(|e| e.accepting).collect();
        let candidates = match (accepting.is_empty(), alive.is_empty()) {
            (false, _) => accepting,
            (true, false) => alive,
            (true, true) => self.entries.iter().map(|k| &k.entry).collect(),
        };
        let select = |matches: &dyn Fn(&EntryAnnouncement) -> bool| -> Vec<SocketAddr> {
            let selected = candidates.iter().filter(|e| matches(e));
            selected.map(|e| e.address).take(MAX_ADDRESSES).collect()
        };
        let in_domain = select(&|e| e.failure_domain == caller.failure_domain);
        if in_domain.len() >= MIN_DOMAIN_ENTRIES {
            return (in_domain, true);
        }
        let in_region = select(&|e| e.region == caller.region);
        match in_region.is_empty() {
            false => (in_region, true),
            true => (select(&|_| true), false),
        }
    }
}
