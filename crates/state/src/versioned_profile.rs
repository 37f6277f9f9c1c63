use mangospindle_model::Profile;
use serde::{Deserialize, Serialize};

/// A profile with the version that changes are checked against.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct VersionedProfile {
    /// Increases by one with each change of the profile. A new profile starts above the versions of
    /// all deleted ones.
    pub version: u64,
    /// The profile.
    pub profile: Profile,
}
