use crate::{EndpointId, EntryId, Topology};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Weight of a candidate for a key in rendezvous hashing: the candidate with the highest score is
/// chosen.
///
/// All nodes must compute the same scores, so that a change of this function moves keys between
/// nodes of different versions.
pub fn rendezvous_score(key: u64, candidate: u64) -> u64 {
    xxh3_64_with_seed(&key.to_le_bytes(), candidate)
}

/// The home entry of an endpoint: rendezvous hashing over the active entries of the endpoint's
/// failure domain or, if none is active there, of its region.
pub fn preferred_owner<F>(
    topology: &Topology,
    endpoint: EndpointId,
    is_active: F,
) -> Option<EntryId>
where
    F: Fn(EntryId) -> bool,
{
    let domain = topology.endpoints[endpoint.index()].failure_domain;
    let region = topology.region_of(domain);
    let best_of = |same_domain: bool| {
        topology
            .entry_ids()
            .filter(|&e| match same_domain {
                true => topology.entries[e.index()].failure_domain == domain,
                false => topology.entry_region(e) == region,
            })
            .filter(|&e| is_active(e))
            .max_by_key(|e| (rendezvous_score(u64::from(endpoint.0), u64::from(e.0)), *e))
    };
    best_of(true).or_else(|| best_of(false))
}
