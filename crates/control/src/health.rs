use crate::published::Published;
use mangospindle_consensus::Role;
use std::time::Duration;

/// Whether a replica can be relied on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Health {
    /// Confirmed by a majority.
    Confirmed,
    /// Follows a leader and is behind it, or is not a voter yet.
    Lagging,
    /// Knows no leader; its state was confirmed within the bound.
    NoLeader,
    /// Knows no leader, and its state was not confirmed within the bound.
    CutOff,
}

impl Health {
    /// Reads the health of a replica from what it publishes.
    pub(crate) fn from_published(published: &Published, now: Duration) -> Self {
        let cut_off = published.cut_off(now);
        match published.leader.get() {
            None if cut_off => Health::CutOff,
            None => Health::NoLeader,
            Some(_) if cut_off || published.role.get() == Role::Learner => Health::Lagging,
            Some(_) => Health::Confirmed,
        }
    }
}
