//! Checks of values that operators send.

use mangospindle_model::{Hedging, Profile, RequestClass, Topology, TopologyError};
use std::time::Duration;

/// Longest name of a profile or VM, in bytes.
const MAX_NAME_BYTES: usize = 64;

/// Longest wait for a free slot that a profile can set. Callers time out before that.
const MAX_QUEUE_TIMEOUT: Duration = Duration::from_secs(60);

/// Checks a profile; the error is a sentence for people.
pub fn validate_profile(profile: &Profile) -> Result<(), String> {
    let fraction = |x: f64| (0.0..=1.0).contains(&x);
    let w = profile.weights;
    let weights = [w.latency, w.headroom, w.drain];
    let mut classes = profile.shed_order.clone();
    classes.sort_unstable();
    let checks = [
        (valid_name(&profile.name), "name"),
        (
            weights.iter().all(|x| x.is_finite() && *x >= 0.0) && weights.iter().sum::<f64>() > 0.0,
            "weights",
        ),
        (
            fraction(profile.pace_start) && profile.pace_start > 0.0,
            "pace_start",
        ),
        (
            profile.pace_growth.is_finite() && profile.pace_growth > 1.0,
            "pace_growth",
        ),
        (fraction(profile.retry_budget), "retry_budget"),
        (
            !matches!(profile.hedging, Hedging::After { delay } if delay.is_zero()),
            "hedging",
        ),
        (profile.queue_timeout <= MAX_QUEUE_TIMEOUT, "queue_timeout"),
        (classes == RequestClass::ALL, "shed_order"),
    ];
    match checks.into_iter().find(|(ok, _)| !ok) {
        Some((_, what)) => Err(format!(
            "{what} of the profile is outside its allowed range"
        )),
        None => Ok(()),
    }
}

/// Whether a name is safe in paths, logs and metrics.
pub(crate) fn valid_name(name: &str) -> bool {
    let safe = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    (1..=MAX_NAME_BYTES).contains(&name.len()) && name.chars().all(safe)
}

/// Checks the first configuration; the error is a sentence for people.
pub(crate) fn validate_bootstrap(topology: &Topology, profiles: &[Profile]) -> Result<(), String> {
    topology.validate().map_err(|e| e.to_string())?;
    profiles.iter().try_for_each(validate_profile)?;
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
