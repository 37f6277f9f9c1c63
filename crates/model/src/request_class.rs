use serde::{Deserialize, Serialize};

/// What a request may cost when it is repeated or refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestClass {
    /// Safe to repeat; may be retried and hedged.
    Read,
    /// Costly to repeat; retried only when it is proved that it did not run.
    Upload,
    /// Must run at most once; guarded by a durable claim.
    AtMostOnce,
}

impl RequestClass {
    /// All classes, from the first to be shed to the last.
    pub const ALL: [RequestClass; 3] = [
        RequestClass::Read,
        RequestClass::Upload,
        RequestClass::AtMostOnce,
    ];

    /// Stable name for logs, metrics and wire formats.
    pub fn as_str(self) -> &'static str {
        match self {
            RequestClass::Read => "read",
            RequestClass::Upload => "upload",
            RequestClass::AtMostOnce => "at_most_once",
        }
    }
}
