use crate::{
    AnnouncedEntry, EndpointList, EndpointRecord, EntryAnnouncement, ExchangeReply, ExchangeRequest,
};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// Time after the last announcement of an entry at which it no longer counts as live. Entries
/// announce themselves about every 0.7 s, and an announcement takes another second to reach every
/// replica.
const ENTRY_TIMEOUT: Duration = Duration::from_millis(3000);

/// Time after the last announcement of an entry at which it is removed from the view.
const ENTRY_RETENTION: Duration = Duration::from_secs(60);

/// Maximum number of entries of each region that an entry learns for relaying requests. It bounds the
/// size of the reply in large deployments.
const MAX_PEERS_PER_REGION: usize = 12;

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

#[derive(Clone, Debug)]
struct KnownEntry {
    entry: EntryAnnouncement,
    announced_at: Duration,
}

/// Entries and endpoints known to one control replica.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    /// Entries by VM name.
    entries: BTreeMap<String, KnownEntry>,
    list: Option<EndpointList>,
    /// When the first announcement was received.
    first_announcement_at: Option<Duration>,
}

impl Fleet {
    /// Records an announcement made `age` ago. It is ignored if the known announcement of the entry
    /// is as new or newer.
    pub fn record_announcement(&mut self, now: Duration, entry: EntryAnnouncement, age: Duration) {
        let announced_at = now.saturating_sub(age);
        self.first_announcement_at.get_or_insert(now);
        let known = self.entries.get(&entry.name);
        if known.is_none_or(|k| k.announced_at < announced_at) {
            // An address belongs to the entry that announced it last.
            self.entries
                .retain(|_, k| k.entry.address != entry.address || k.announced_at > announced_at);
            let known = KnownEntry {
                entry,
                announced_at,
            };
            self.entries.insert(known.entry.name.clone(), known);
        }
        self.entries
            .retain(|_, k| now.saturating_sub(k.announced_at) < ENTRY_RETENTION);
    }

    /// Replaces the endpoint list unless the current one is as new or newer. Cold starts that ended
    /// lately are kept, for entries that have not heard of them.
    pub fn set_endpoint_list(&mut self, mut list: EndpointList) {
        match &self.list {
            Some(known) if known.read_at >= list.read_at => return,
            Some(known) => list.inherit_cold_starts(known),
            None => {}
        }
        self.list = Some(list);
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

    /// Merges the view of another replica. `asked_at` is a time before the request was sent, so
    /// that no information is treated as newer than it is.
    pub fn merge(&mut self, now: Duration, asked_at: Duration, reply: ExchangeReply) {
        for announced in reply.entries {
            let since_asked = now.saturating_sub(asked_at);
            self.record_announcement(now, announced.entry, announced.age + since_asked);
        }
        let Some(age) = reply.list_age else {
            return;
        };
        let read_at = asked_at.saturating_sub(age);
        match (reply.list, &mut self.list) {
            (Some(endpoints), _) => self.set_endpoint_list(rebase_list(endpoints, age, read_at)),
            (None, Some(known)) => known.read_at = known.read_at.max(read_at),
            (None, None) => {}
        }
    }

    /// Responds to an exchange request of an entry or another replica.
    pub fn respond(
        &mut self,
        now: Duration,
        request: ExchangeRequest,
        replicas: Vec<SocketAddr>,
    ) -> ExchangeReply {
        let region = request.entry.as_ref().map(|e| e.region.clone());
        let requester = request.entry.as_ref().map(|e| e.name.clone());
        if let Some(entry) = request.entry {
            self.record_announcement(now, entry, Duration::ZERO);
        }
        let in_region = |k: &&KnownEntry| {
            let alive = now.saturating_sub(k.announced_at) < ENTRY_TIMEOUT;
            alive && Some(&k.entry.region) == region.as_ref()
        };
        let region_entries = self.entries.values().filter(in_region).count() as u32;
        let entries: Vec<&KnownEntry> = match (request.wants_entries, requester) {
            (false, _) => Vec::new(),
            (true, None) => self.entries.values().collect(),
            (true, Some(name)) => self.peers_of(now, &name),
        };
        let announced = entries.into_iter().map(|k| AnnouncedEntry {
            entry: k.entry.clone(),
            age: now.saturating_sub(k.announced_at),
        });
        let list = self.list.as_ref();
        ExchangeReply {
            entries: announced.collect(),
            replicas,
            region_entries,
            list_digest: list.map_or(0, |l| l.digest),
            list_age: list.map(|l| now.saturating_sub(l.read_at)),
            list: list
                .filter(|l| l.digest != request.known_list)
                .map(|l| l.endpoints_at(now)),
        }
    }

    /// Entries to which the entry `name` may relay requests: a few accepting ones of each region. They
    /// are selected by a hash that includes the name, so that entries spread over them.
    fn peers_of(&self, now: Duration, name: &str) -> Vec<&KnownEntry> {
        let mut peers: Vec<&KnownEntry> = (self.entries.values())
            .filter(|k| now.saturating_sub(k.announced_at) < ENTRY_TIMEOUT)
            .filter(|k| k.entry.accepting && k.entry.name != name)
            .collect();
        peers.sort_by_cached_key(|k| xxh3_64(format!("{name}\n{}", k.entry.name).as_bytes()));
        let mut in_region: BTreeMap<&str, usize> = BTreeMap::new();
        peers.retain(|k| {
            let count = in_region.entry(&k.entry.region).or_default();
            *count += 1;
            *count <= MAX_PEERS_PER_REGION
        });
        peers
    }

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
        let incomplete = self
            .first_announcement_at
            .is_none_or(|at| now < at + ENTRY_TIMEOUT);
        let time_to_live = match nearby && !incomplete {
            true => max_time_to_live,
            false => max_time_to_live.min(INCOMPLETE_VIEW_TTL),
        };
        EntryLookup {
            addresses,
            time_to_live,
        }
    }

    /// Returns the addresses of the entries for a caller, and whether these are in its region.
    fn addresses_for(&self, now: Duration, caller: &CallerLocation) -> (Vec<SocketAddr>, bool) {
        let alive: Vec<&EntryAnnouncement> = (self.entries.values())
            .filter(|k| now.saturating_sub(k.announced_at) < ENTRY_TIMEOUT)
            .map(|k| &k.entry)
            .collect();
        let accepting: Vec<_> = alive.iter().copied().filter(|e| e.accepting).collect();
        let candidates = match (accepting.is_empty(), alive.is_empty()) {
            (false, _) => accepting,
            (true, false) => alive,
            (true, true) => self.entries.values().map(|k| &k.entry).collect(),
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

/// Builds an endpoint list read at `read_at` from records whose `cold_for` counts from `age` later.
fn rebase_list(
    mut endpoints: Vec<EndpointRecord>,
    age: Duration,
    read_at: Duration,
) -> EndpointList {
    for endpoint in &mut endpoints {
        // The time at which a cold start ended is not known; it must not move with each hop.
        if !endpoint.cold_for.is_zero() && !endpoint.cold_start_has_ended() {
            endpoint.cold_for += age;
        }
    }
    EndpointList::new(endpoints, read_at)
}
