use serde::{Deserialize, Serialize};

/// Response to an accepted change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeResultWire {
    /// Version of the configuration after the change.
    pub version: u64,
}
