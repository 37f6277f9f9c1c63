use crate::EndpointKey;
use mangospindle_model::rendezvous_score;
use std::cmp::Reverse;
use std::collections::HashMap;
use std::net::SocketAddr;

/// Number of endpoints that are kept in order of preference for an affinity key. Only if fewer than the
/// needed ones can receive a request, all endpoints of the region are ordered again.
const KEPT_PREFERENCES: usize = 8;

/// Maximum number of affinity keys for which an order of preference is kept.
const MAX_KEPT_KEYS: usize = 4096;

/// An endpoint and the part of its address that decides which affinity keys prefer it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Member {
    key: EndpointKey,
    address_bits: u64,
}

/// The endpoints of a service in one region.
///
/// Affinity keys repeat, so that the order in which a key prefers the endpoints is kept until an endpoint
/// joins or leaves. Choosing an endpoint then takes the same time in regions of any size.
#[derive(Clone, Debug, Default)]
pub(crate) struct RegionEndpoints {
    members: Vec<Member>,
    preferences: HashMap<u64, Vec<EndpointKey>>,
}

impl RegionEndpoints {
    /// Replaces the endpoints by those in `endpoints`, in the order of their keys.
    pub(crate) fn replace<I>(&mut self, endpoints: I)
    where
        I: Iterator<Item = (EndpointKey, SocketAddr)>,
    {
        let members: Vec<Member> = endpoints
            .map(|(key, address)| Member {
                key,
                address_bits: address_bits(address),
            })
            .collect();
        if members != self.members {
            self.members = members;
            self.preferences.clear();
        }
    }

    /// Number of endpoints.
    pub(crate) fn len(&self) -> usize {
        self.members.len()
    }

    /// The endpoint at a position below [`len`](Self::len).
    pub(crate) fn get(&self, position: usize) -> Option<EndpointKey> {
        self.members.get(position).map(|m| m.key)
    }

    /// The endpoints that an affinity key prefers, best first: at most [`KEPT_PREFERENCES`].
    pub(crate) fn preferred(&mut self, affinity_key: u64) -> Vec<EndpointKey> {
        if let Some(preferred) = self.preferences.get(&affinity_key) {
            return preferred.clone();
        }
        let preferred = self.order(affinity_key, KEPT_PREFERENCES);
        if self.preferences.len() >= MAX_KEPT_KEYS {
            self.preferences.clear();
        }
        self.preferences.insert(affinity_key, preferred.clone());
        preferred
    }

    /// The endpoints that an affinity key prefers less than those of [`preferred`](Self::preferred), best
    /// first.
    pub(crate) fn less_preferred(&self, affinity_key: u64) -> Vec<EndpointKey> {
        match self.members.len() > KEPT_PREFERENCES {
            true => self.order(affinity_key, self.members.len())[KEPT_PREFERENCES..].to_vec(),
            false => Vec::new(),
        }
    }

    /// The first `count` endpoints in the order of preference of an affinity key. All entries order them
    /// alike, so that an object soon is in the working sets of the first ones.
    fn order(&self, affinity_key: u64, count: usize) -> Vec<EndpointKey> {
        let score = |m: &Member| Reverse(rendezvous_score(affinity_key, m.address_bits));
        let mut scored: Vec<_> = self.members.iter().map(|m| (score(m), m.key)).collect();
        if (1..scored.len()).contains(&count) {
            scored.select_nth_unstable(count - 1);
            scored.truncate(count);
        }
        scored.sort_unstable();
        scored.into_iter().map(|(_, key)| key).collect()
    }
}

/// The bits of an address by which endpoints are ordered.
pub(crate) fn address_bits(address: SocketAddr) -> u64 {
    let ip = match address.ip() {
        std::net::IpAddr::V4(ip) => u64::from(u32::from(ip)),
        std::net::IpAddr::V6(ip) => u128::from(ip) as u64,
    };
    u64::from(address.port()) << 32 | ip
}
