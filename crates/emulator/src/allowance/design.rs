use std::fmt;

/// A way to enforce the allowance of a workspace over all entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AllowanceDesign {
    /// Each entry has a token bucket with an equal part of the allowance. No messages.
    FixedShares,
    /// The product: token buckets with shares that follow demand.
    FollowingShares,
    /// No token bucket: an entry admits a bounded number of requests after each reply of a replica.
    RepliesOnly,
}

impl AllowanceDesign {
    /// All designs.
    pub const ALL: [AllowanceDesign; 3] = [
        AllowanceDesign::FixedShares,
        AllowanceDesign::FollowingShares,
        AllowanceDesign::RepliesOnly,
    ];
}

impl fmt::Display for AllowanceDesign {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            AllowanceDesign::FixedShares => "fixed shares",
            AllowanceDesign::FollowingShares => "following shares",
            AllowanceDesign::RepliesOnly => "replies only",
        })
    }
}
