use crate::duration_text::DurationText;
use mangospindle_model::{Hedging, Profile, RequestClass, Weights};
use serde::Deserialize;

/// A profile as it stands in a file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct ProfileFile {
    pub(crate) name: String,
    pub(crate) weights: Weights,
    pub(crate) cross_region_limit: u32,
    pub(crate) pace_start: f64,
    pub(crate) pace_growth: f64,
    pub(crate) retry_budget: f64,
    /// Delay of the second attempt; `null` or absent for none.
    #[serde(default)]
    pub(crate) hedge_after: Option<DurationText>,
    pub(crate) queue_timeout: DurationText,
    #[serde(default = "default_shed_order")]
    pub(crate) shed_order: Vec<RequestClass>,
}

fn default_shed_order() -> Vec<RequestClass> {
    RequestClass::ALL.to_vec()
}

impl From<ProfileFile> for Profile {
    fn from(file: ProfileFile) -> Self {
        Profile {
            name: file.name,
            weights: file.weights,
            cross_region_limit: file.cross_region_limit,
            pace_start: file.pace_start,
            pace_growth: file.pace_growth,
            retry_budget: file.retry_budget,
            hedging: match file.hedge_after {
                Some(delay) => Hedging::After { delay: delay.0 },
                None => Hedging::Off,
            },
            queue_timeout: file.queue_timeout.0,
            shed_order: file.shed_order,
        }
    }
}
