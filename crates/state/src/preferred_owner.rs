use crate::Config;
use mangospindle_model::{EndpointId, EntryId};
use sha2::{Digest, Sha256};

/// Returns the preferred owner of an endpoint, or `None` if its region has no active entry.
///
/// Rendezvous hashing selects it from the active entries of the endpoint's failure domain or, if
/// none is active, of its region. The score depends on names only, so all processes and builds
/// select the same entry.
pub fn preferred_owner(config: &Config, endpoint: EndpointId) -> Option<EntryId> {
    let topology = &config.topology;
    let target = topology.endpoints.get(endpoint.index())?;
    let region = topology.region_of(target.failure_domain);
    let highest_scoring = |in_scope: &dyn Fn(EntryId) -> bool| {
        (topology.entry_ids())
            .filter(|id| config.is_active(*id) && in_scope(*id))
            .max_by_key(|id| score(&target.name, &topology.entries[id.index()].name))
    };
    highest_scoring(&|id| topology.entries[id.index()].failure_domain == target.failure_domain)
        .or_else(|| highest_scoring(&|id| topology.entry_region(id) == region))
}

fn score(endpoint: &str, entry: &str) -> [u8; 32] {
    let mut hash = Sha256::new();
    // The length prefix separates the two names.
    hash.update((endpoint.len() as u64).to_le_bytes());
    hash.update(endpoint);
    hash.update(entry);
    hash.finalize().into()
}
