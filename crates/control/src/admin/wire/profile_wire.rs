use super::duration_ms;
use mangospindle_model::{Hedging, Profile, RequestClass, Weights};
use mangospindle_state::VersionedProfile;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Weights of a profile.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WeightsWire {
    /// Weight of expected latency.
    pub latency: f64,
    /// Weight of free capacity.
    pub headroom: f64,
    /// Weight of avoiding VMs that are about to drain.
    pub drain: f64,
}

/// Hedging mode of a profile.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "mode", rename_all = "snake_case", deny_unknown_fields)]
pub enum HedgingWire {
    /// Requests are not hedged.
    Off,
    /// A second attempt starts after a delay.
    After {
        /// Time from the first attempt to the second, in milliseconds.
        delay_ms: u64,
    },
}

/// A profile.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
#[allow(
    missing_docs,
    reason = "the fields have the names and meanings of `model::Profile`"
)]
pub struct ProfileWire {
    pub name: String,
    pub weights: WeightsWire,
    pub cross_region_limit: u32,
    pub pace_start: f64,
    pub pace_growth: f64,
    pub retry_budget: f64,
    pub hedging: HedgingWire,
    pub queue_timeout_ms: u64,
    pub shed_order: Vec<RequestClass>,
}

impl From<&Profile> for ProfileWire {
    fn from(profile: &Profile) -> Self {
        let w = profile.weights;
        ProfileWire {
            name: profile.name.clone(),
            weights: WeightsWire {
                latency: w.latency,
                headroom: w.headroom,
                drain: w.drain,
            },
            cross_region_limit: profile.cross_region_limit,
            pace_start: profile.pace_start,
            pace_growth: profile.pace_growth,
            retry_budget: profile.retry_budget,
            hedging: match profile.hedging {
                Hedging::Off => HedgingWire::Off,
                Hedging::After { delay } => HedgingWire::After {
                    delay_ms: duration_ms(delay),
                },
            },
            queue_timeout_ms: duration_ms(profile.queue_timeout),
            shed_order: profile.shed_order.clone(),
        }
    }
}

impl TryFrom<ProfileWire> for Profile {
    type Error = String;

    fn try_from(wire: ProfileWire) -> Result<Self, Self::Error> {
        let profile = Profile {
            name: wire.name,
            weights: Weights {
                latency: wire.weights.latency,
                headroom: wire.weights.headroom,
                drain: wire.weights.drain,
            },
            cross_region_limit: wire.cross_region_limit,
            pace_start: wire.pace_start,
            pace_growth: wire.pace_growth,
            retry_budget: wire.retry_budget,
            hedging: match wire.hedging {
                HedgingWire::Off => Hedging::Off,
                HedgingWire::After { delay_ms } => Hedging::After {
                    delay: Duration::from_millis(delay_ms),
                },
            },
            queue_timeout: Duration::from_millis(wire.queue_timeout_ms),
            shed_order: wire.shed_order,
        };
        profile.validate().map_err(|e| e.to_string())?;
        Ok(profile)
    }
}

/// A profile with its version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VersionedProfileWire {
    /// Version of the profile, which is also its `ETag`.
    pub version: u64,
    /// The profile.
    pub profile: ProfileWire,
}

impl From<&VersionedProfile> for VersionedProfileWire {
    fn from(versioned: &VersionedProfile) -> Self {
        VersionedProfileWire {
            version: versioned.version,
            profile: (&versioned.profile).into(),
        }
    }
}
