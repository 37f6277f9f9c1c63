use super::{Fleet, KnownEntry};
use crate::{AnnouncedEntry, Differences, ExchangeReply, ExchangeRequest};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// Maximum number of entries of each region that an entry learns for relaying requests. It bounds the
/// size of the reply in large deployments.
const MAX_PEERS_PER_REGION: usize = 12;

impl Fleet {
    /// Responds to an exchange request of an entry or another replica.
    pub fn respond(
        &mut self,
        now: Duration,
        request: ExchangeRequest,
        replicas: Vec<SocketAddr>,
    ) -> ExchangeReply {
        if let Some(entry) = &request.entry {
            self.record_announcement(now, entry.clone(), Duration::ZERO);
        }
        let region = request.entry.as_ref().map(|e| e.region.as_str());
        let in_region = |k: &&KnownEntry| Some(k.entry.region.as_str()) == region;
        let live = self.entries.iter().filter(|k| Self::is_live(now, k));
        let region_entries = live.filter(in_region).count() as u32;
        let differences = self.differences(now, &request);
        let list = self.list.as_ref();
        let changed_list = list.filter(|l| l.digest != request.known_list);
        let sends_difference = differences.as_ref().is_some_and(|d| d.endpoints.is_some());
        let whole_list = changed_list.filter(|_| !sends_difference);
        self.sent_lists.whole += u64::from(whole_list.is_some());
        self.sent_lists.differences += u64::from(sends_difference);
        ExchangeReply {
            entries: self.announced_entries(now, &request),
            replicas,
            region_entries,
            list_digest: list.map_or(0, |l| l.digest),
            list_age: list.map(|l| now.saturating_sub(l.read_at)),
            list: whole_list.map(|l| l.endpoints_at(now)),
            differences,
        }
    }

    /// Differences for a requester that understands them.
    fn differences(&self, now: Duration, request: &ExchangeRequest) -> Option<Differences> {
        let known = request.differences?;
        let list = self.list.as_ref();
        let changed_list = list.filter(|l| l.digest != request.known_list);
        let from_replica = request.entry.is_none() && request.wants_entries;
        Some(Differences {
            endpoints: changed_list
                .and_then(|l| self.history.difference(now, request.known_list, l)),
            list_checksum: list.map_or(0, |l| l.checksum),
            entries: from_replica.then(|| self.entries.difference(now, known.entries)),
        })
    }

    /// Entries that a reply contains as whole announcements.
    fn announced_entries(&self, now: Duration, request: &ExchangeRequest) -> Vec<AnnouncedEntry> {
        let entries: Vec<&KnownEntry> = match (&request.entry, &request.differences) {
            _ if !request.wants_entries => Vec::new(),
            (Some(entry), _) => self.peers_of(now, &entry.name),
            (None, Some(_)) => Vec::new(),
            (None, None) => self.entries.iter().collect(),
        };
        let announced = entries.into_iter().map(|k| AnnouncedEntry {
            entry: k.entry.clone(),
            age: now.saturating_sub(k.announced_at),
        });
        announced.collect()
    }

    /// Entries to which the entry `name` may relay requests: a few accepting ones of each region. They
    /// are selected by a hash that includes the name, so that entries spread over them.
    fn peers_of(&self, now: Duration, name: &str) -> Vec<&KnownEntry> {
        let mut peers: Vec<&KnownEntry> = (self.entries.iter())
            .filter(|k| Self::is_live(now, k))
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
}
