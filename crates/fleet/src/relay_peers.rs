use crate::{AnnouncedEntry, EntryAnnouncement};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Time for which a peer is avoided after it could not be reached or had no path either.
const AVOID_TIME: Duration = Duration::from_secs(2);

/// Time for which requests of a service are not relayed after a peer had no usable endpoint either.
const SERVICE_DOWN_TIME: Duration = Duration::from_millis(500);

/// Age of an announcement beyond which the entry is not used as a peer.
const MAX_ANNOUNCEMENT_AGE: Duration = Duration::from_secs(3);

/// Other entries, to which an entry without a path to endpoints relays requests.
#[derive(Clone, Debug)]
pub struct RelayPeers {
    own_name: String,
    own_region: String,
    peers: Vec<EntryAnnouncement>,
    /// Until when a peer is avoided, by its address.
    avoided_until: BTreeMap<SocketAddr, Duration>,
    /// Until when no request of a service is relayed, by the name of the service.
    services_down_until: BTreeMap<String, Duration>,
    next: usize,
}

impl RelayPeers {
    /// Creates an empty set of peers of the entry `own_name`.
    pub fn new(own_name: String, own_region: String) -> Self {
        RelayPeers {
            own_name,
            own_region,
            peers: Vec::new(),
            avoided_until: BTreeMap::new(),
            services_down_until: BTreeMap::new(),
            next: 0,
        }
    }

    /// Replaces the peers by the accepting ones among the announced entries.
    pub fn update(&mut self, now: Duration, announced: Vec<AnnouncedEntry>) {
        let usable = announced.into_iter().filter(|a| {
            a.entry.accepting && a.age < MAX_ANNOUNCEMENT_AGE && a.entry.name != self.own_name
        });
        self.peers = usable.map(|a| a.entry).collect();
        self.avoided_until.retain(|_, until| now < *until);
    }

    /// Records that a service has no usable endpoint in the view of a peer.
    pub fn record_service_down(&mut self, now: Duration, service: &str) {
        let until = now + SERVICE_DOWN_TIME;
        self.services_down_until.insert(service.to_string(), until);
    }

    /// Whether a peer has reported lately that a service has no usable endpoint.
    pub fn is_service_down(&self, now: Duration, service: &str) -> bool {
        (self.services_down_until.get(service)).is_some_and(|until| now < *until)
    }

    /// Avoids a peer for a while.
    pub fn avoid(&mut self, now: Duration, address: SocketAddr) {
        self.avoided_until.insert(address, now + AVOID_TIME);
    }

    /// Selects the public address of a peer for a request, in turn. A request with home regions is
    /// relayed only within these, any other one to this entry's region if possible.
    pub fn select(&mut self, now: Duration, home_regions: &[String]) -> Option<SocketAddr> {
        let usable = |peer: &&EntryAnnouncement| {
            let avoided = self.avoided_until.get(&peer.address);
            let is_home = home_regions.is_empty() || home_regions.contains(&peer.region);
            is_home && avoided.is_none_or(|until| now >= *until)
        };
        let all: Vec<_> = self.peers.iter().filter(usable).collect();
        let nearby: Vec<_> = (all.iter().copied())
            .filter(|peer| peer.region == self.own_region)
            .collect();
        let candidates = match nearby.is_empty() {
            true => all,
            false => nearby,
        };
        let index = self.next.checked_rem(candidates.len())?;
        let address = candidates[index].address;
        self.next = self.next.wrapping_add(1);
        Some(address)
    }
}
