use serde::{Deserialize, Serialize};

/// How the current owner took over an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Takeover {
    /// The previous owner had no request in progress. The new owner may dispatch immediately.
    Clean,
    /// The previous owner was lost. The new owner waits until the deadlines of the previous owner's
    /// requests have passed.
    Quarantine,
}
