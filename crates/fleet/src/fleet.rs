use crate::{
    AnnouncedEntry, EndpointList, EndpointRecord, EntryAnnouncement, ExchangeReply, ExchangeRequest,
};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Time after which an entry that was not heard is no longer named to callers. Entries announce
/// themselves about every 0.7 s, and an announcement takes another second to reach every replica.
const ENTRY_LIFETIME: Duration = Duration::from_millis(3000);

/// Time after which an entry that was not heard is forgotten.
const ENTRY_MEMORY: Duration = Duration::from_secs(60);

/// Entries of the own failure domain from which callers are not sent to others: with fewer, the
/// loss of one would leave its callers without an alternative until they ask again.
const ENOUGH_ENTRIES: usize = 2;

/// Most addresses in one answer to a caller.
const MAX_ADDRESSES: usize = 64;

/// Longest time for which a caller keeps an answer while this view may lack entries nearer to it.
/// Short, because the callers of a whole deployment would otherwise stay with the few entries that
/// are up first after a restart.
const UNSETTLED_LIFETIME: Duration = Duration::from_millis(500);

/// Where a caller is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerLocation {
    /// Name of its region.
    pub region: String,
    /// Name of its failure domain.
    pub failure_domain: String,
}

/// Where a caller should connect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryLookup {
    /// Public addresses of entries.
    pub addresses: Vec<SocketAddr>,
    /// How long they may be kept.
    pub time_to_live: Duration,
}

#[derive(Clone, Debug)]
struct Known {
    entry: EntryAnnouncement,
    heard_at: Duration,
}

/// The view of one control replica.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    /// By name of the VM.
    entries: BTreeMap<String, Known>,
    list: Option<EndpointList>,
    /// When the first entry was heard.
    first_heard: Option<Duration>,
}

impl Fleet {
    /// Notes an announcement that is `age` old. Older news than those known change nothing.
    pub fn record_announcement(&mut self, now: Duration, entry: EntryAnnouncement, age: Duration) {
        let heard_at = now.saturating_sub(age);
        self.first_heard.get_or_insert(now);
        let known = self.entries.get(&entry.name);
        if known.is_none_or(|k| k.heard_at < heard_at) {
            // An address belongs to the process that announced it last.
            self.entries
                .retain(|_, k| k.entry.address != entry.address || k.heard_at > heard_at);
            let known = Known { entry, heard_at };
            self.entries.insert(known.entry.name.clone(), known);
        }
        self.entries
            .retain(|_, k| now.saturating_sub(k.heard_at) < ENTRY_MEMORY);
    }

    /// Takes a list of endpoints unless a newer one is known.
    pub fn set_endpoint_list(&mut self, list: EndpointList) {
        if (self.list.as_ref()).is_none_or(|known| known.read_at < list.read_at) {
            self.list = Some(list);
        }
    }

    /// The list of endpoints, if there is one.
    pub fn endpoint_list(&self) -> Option<&EndpointList> {
        self.list.as_ref()
    }

    /// Age of the list of endpoints.
    pub fn endpoint_list_age(&self, now: Duration) -> Option<Duration> {
        let list = self.list.as_ref()?;
        Some(now.saturating_sub(list.read_at))
    }

    /// Takes over what another replica knows. `asked_at` is the time before the request was sent,
    /// so that nothing counts as newer than it is.
    pub fn merge(&mut self, now: Duration, asked_at: Duration, reply: ExchangeReply) {
        for heard in reply.entries {
            let since_asked = now.saturating_sub(asked_at);
            self.record_announcement(now, heard.entry, heard.age + since_asked);
        }
        let Some(age) = reply.list_age else {
            return;
        };
        let read_at = asked_at.saturating_sub(age);
        match (reply.list, &mut self.list) {
            (Some(endpoints), _) => self.set_endpoint_list(aged(endpoints, age, read_at)),
            (None, Some(known)) => known.read_at = known.read_at.max(read_at),
            (None, None) => {}
        }
    }

    /// Answers an entry or another replica.
    pub fn respond(
        &mut self,
        now: Duration,
        request: ExchangeRequest,
        replicas: Vec<SocketAddr>,
    ) -> ExchangeReply {
        let region = request.entry.as_ref().map(|e| e.region.clone());
        if let Some(entry) = request.entry {
            self.record_announcement(now, entry, Duration::ZERO);
        }
        let in_region = |k: &&Known| {
            let alive = now.saturating_sub(k.heard_at) < ENTRY_LIFETIME;
            alive && Some(&k.entry.region) == region.as_ref()
        };
        let region_entries = self.entries.values().filter(in_region).count() as u32;
        let entries = self.entries.values().filter(|_| request.wants_entries);
        let list = self.list.as_ref();
        ExchangeReply {
            entries: entries
                .map(|k| AnnouncedEntry {
                    entry: k.entry.clone(),
                    age: now.saturating_sub(k.heard_at),
                })
                .collect(),
            replicas,
            region_entries,
            list_digest: list.map_or(0, |l| l.digest),
            list_age: list.map(|l| now.saturating_sub(l.read_at)),
            list: list
                .filter(|l| l.digest != request.known_list)
                .map(|l| l.endpoints_at(now)),
        }
    }

    /// Entries that a caller should connect to: those of its failure domain if there are enough,
    /// else those of its region, else all. An entry that was not heard lately, or that accepts no
    /// callers, is named only if there is no other. The answer is kept for `longest`, or for less
    /// if it may soon be a better one.
    pub fn lookup_entries(
        &self,
        now: Duration,
        caller: &CallerLocation,
        longest: Duration,
    ) -> EntryLookup {
        let (addresses, near) = self.entries_for(now, caller);
        let young = self.first_heard.is_none_or(|at| now < at + ENTRY_LIFETIME);
        let time_to_live = match near && !young {
            true => longest,
            false => longest.min(UNSETTLED_LIFETIME),
        };
        EntryLookup {
            addresses,
            time_to_live,
        }
    }

    /// The entries for a caller, and whether they are in its region.
    fn entries_for(&self, now: Duration, caller: &CallerLocation) -> (Vec<SocketAddr>, bool) {
        let alive: Vec<&EntryAnnouncement> = (self.entries.values())
            .filter(|k| now.saturating_sub(k.heard_at) < ENTRY_LIFETIME)
            .map(|k| &k.entry)
            .collect();
        let accepting: Vec<_> = alive.iter().copied().filter(|e| e.accepting).collect();
        let candidates = match (accepting.is_empty(), alive.is_empty()) {
            (false, _) => accepting,
            (true, false) => alive,
            (true, true) => self.entries.values().map(|k| &k.entry).collect(),
        };
        let near = |wanted: &dyn Fn(&EntryAnnouncement) -> bool| -> Vec<SocketAddr> {
            let chosen = candidates.iter().filter(|e| wanted(e));
            chosen.map(|e| e.address).take(MAX_ADDRESSES).collect()
        };
        let in_domain = near(&|e| e.failure_domain == caller.failure_domain);
        if in_domain.len() >= ENOUGH_ENTRIES {
            return (in_domain, true);
        }
        let in_region = near(&|e| e.region == caller.region);
        match in_region.is_empty() {
            false => (in_region, true),
            true => (near(&|_| true), false),
        }
    }
}

/// A list whose `cold_for` counted from `age` after `read_at`.
fn aged(mut endpoints: Vec<EndpointRecord>, age: Duration, read_at: Duration) -> EndpointList {
    for endpoint in &mut endpoints {
        if !endpoint.cold_for.is_zero() {
            endpoint.cold_for += age;
        }
    }
    EndpointList::new(endpoints, read_at)
}
