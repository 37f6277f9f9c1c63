use serde::{Deserialize, Serialize};

/// How an endpoint came to its present owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Takeover {
    /// The previous owner had no request in progress; the new owner may dispatch at once.
    Clean,
    /// The previous owner is lost; the new owner waits until the requests of the previous owner
    /// have passed their deadlines.
    Quarantine,
}
