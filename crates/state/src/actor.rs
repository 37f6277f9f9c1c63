use serde::{Deserialize, Serialize};

/// Originator of a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Actor {
    /// An operator, by name.
    Operator(String),
    /// A process of the system, by its name in the settings.
    Process(String),
}
