use crate::VersionedProfile;
use mangospindle_model::{Hedging, Profile, RequestClass, Weights};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// A profile in a snapshot.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct ProfileWire {
    name: String,
    /// Weights of latency, headroom and drain, in this order.
    weights: [f64; 3],
    cross_region_limit: u32,
    pace_start: f64,
    pace_growth: f64,
    retry_budget: f64,
    hedge_after: Option<Duration>,
    queue_timeout: Duration,
    shed_order: Vec<RequestClass>,
}

impl From<&Profile> for ProfileWire {
    fn from(profile: &Profile) -> Self {
        let w = profile.weights;
        ProfileWire {
            name: profile.name.clone(),
            weights: [w.latency, w.headroom, w.drain],
            cross_region_limit: profile.cross_region_limit,
            pace_start: profile.pace_start,
            pace_growth: profile.pace_growth,
            retry_budget: profile.retry_budget,
            hedge_after: match profile.hedging {
                Hedging::Off => None,
                Hedging::After { delay } => Some(delay),
            },
            queue_timeout: profile.queue_timeout,
            shed_order: profile.shed_order.clone(),
        }
    }
}

impl From<ProfileWire> for Profile {
    fn from(wire: ProfileWire) -> Self {
        let [latency, headroom, drain] = wire.weights;
        Profile {
            name: wire.name,
            weights: Weights {
                latency,
                headroom,
                drain,
            },
            cross_region_limit: wire.cross_region_limit,
            pace_start: wire.pace_start,
            pace_growth: wire.pace_growth,
            retry_budget: wire.retry_budget,
            hedging: match wire.hedge_after {
                None => Hedging::Off,
                Some(delay) => Hedging::After { delay },
            },
            queue_timeout: wire.queue_timeout,
            shed_order: wire.shed_order,
        }
    }
}

/// A profile with its version in a snapshot.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct VersionedProfileWire {
    version: u64,
    profile: ProfileWire,
}

impl From<&VersionedProfile> for VersionedProfileWire {
    fn from(versioned: &VersionedProfile) -> Self {
        VersionedProfileWire {
            version: versioned.version,
            profile: ProfileWire::from(&versioned.profile),
        }
    }
}

impl From<VersionedProfileWire> for VersionedProfile {
    fn from(wire: VersionedProfileWire) -> Self {
        VersionedProfile {
            version: wire.version,
            profile: wire.profile.into(),
        }
    }
}
