use std::fmt;
use std::str::FromStr;

/// How an entry chooses the endpoint for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// The dispatcher of `mangospindle-dispatch`.
    Dispatcher,
    /// Each endpoint in turn.
    RoundRobin,
    /// The endpoint with the lowest load in its most recent report.
    LeastLoad,
}

impl Policy {
    /// All policies.
    pub const ALL: [Policy; 3] = [Policy::Dispatcher, Policy::RoundRobin, Policy::LeastLoad];
}

impl fmt::Display for Policy {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Policy::Dispatcher => "dispatcher",
            Policy::RoundRobin => "round-robin",
            Policy::LeastLoad => "least-load",
        })
    }
}

impl FromStr for Policy {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let mut all = Policy::ALL.into_iter();
        all.find(|p| p.to_string() == text)
            .ok_or_else(|| format!("unknown policy `{text}`"))
    }
}
