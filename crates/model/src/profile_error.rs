use std::fmt;

/// Why a profile is not valid.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProfileError {
    /// The name is empty, longer than 64 bytes, or has characters other than letters, digits, `.`, `_`
    /// and `-`.
    Name(String),
    /// A weight is negative or not a number, or all are zero.
    Weights,
    /// `pace_start` is not in (0, 1].
    PaceStart,
    /// `pace_growth` is not above 1 and at most 10.
    PaceGrowth,
    /// The delay of a hedge is zero.
    Hedging,
    /// `queue_timeout` is above 60 s.
    QueueTimeout,
    /// `retry_budget` is not in [0, 1].
    RetryBudget,
    /// `shed_order` does not list each class once.
    ShedOrder,
}

impl fmt::Display for ProfileError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ProfileError::Name(name) => write!(
                f,
                "`{name}` is not a profile name: use 1 to 64 letters, digits, `.`, `_` and `-`"
            ),
            ProfileError::Weights => {
                f.write_str("weights must not be negative, and one must be above 0")
            }
            ProfileError::PaceStart => f.write_str("pace_start must be above 0 and at most 1"),
            ProfileError::PaceGrowth => f.write_str("pace_growth must be above 1 and at most 10"),
            ProfileError::RetryBudget => f.write_str("retry_budget must be from 0 to 1"),
            ProfileError::Hedging => f.write_str("the delay of a hedge must be above 0"),
            ProfileError::QueueTimeout => f.write_str("queue_timeout must be at most 60 s"),
            ProfileError::ShedOrder => f.write_str("shed_order must list each class once"),
        }
    }
}

impl std::error::Error for ProfileError {}
