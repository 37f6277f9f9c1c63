//! Validation of values that operators send.

use mangospindle_model::{Profile, Topology, TopologyError};

/// Maximum length of the name of a VM or a failure domain, in bytes.
const MAX_NAME_BYTES: usize = 64;

/// Whether a name is safe in paths, logs and metrics.
pub(crate) fn is_valid_name(name: &str) -> bool {
    let safe = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    (1..=MAX_NAME_BYTES).contains(&name.len()) && name.chars().all(safe)
}

/// Validates the initial configuration. The error is a human-readable message.
pub(crate) fn validate_bootstrap(topology: &Topology, profiles: &[Profile]) -> Result<(), String> {
    topology.validate().map_err(|e| e.to_string())?;
    for profile in profiles {
        profile.validate().map_err(|e| e.to_string())?;
    }
    let mut names: Vec<&String> = profiles.iter().map(|p| &p.name).collect();
    names.sort_unstable();
    if let Some(pair) = names.windows(2).find(|pair| pair[0] == pair[1]) {
        return Err(TopologyError::DuplicateName(pair[0].clone()).to_string());
    }
    let unknown = |name: &&String| names.binary_search(name).is_err();
    match topology.services.iter().map(|s| &s.profile).find(unknown) {
        Some(name) => Err(TopologyError::UnknownProfile(name.clone()).to_string()),
        None => Ok(()),
    }
}
