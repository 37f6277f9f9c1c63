use crate::published_state::PublishedState;
use mangospindle_consensus::Role;
use std::time::Duration;

/// Health of a replica.
///
/// The state of a replica that is stopping, or whose disk failed, never counts as confirmed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Health {
    /// Knows a leader, and a majority confirmed its state within the staleness bound.
    Confirmed,
    /// Knows a leader, but its state was not confirmed within the staleness bound, or it is
    /// still a learner.
    Lagging,
    /// Knows no leader. Its state was confirmed within the staleness bound.
    NoLeader,
    /// Knows no leader, and its state was not confirmed within the staleness bound.
    CutOff,
}

impl Health {
    /// Derives the health of a replica from its published state at the time `now`.
    pub(crate) fn from_published(published: &PublishedState, now: Duration) -> Self {
        let cut_off = published.cut_off(now);
        match published.leader.get() {
            None if cut_off => Health::CutOff,
            None => Health::NoLeader,
            Some(_) if cut_off || published.role.get() == Role::Learner => Health::Lagging,
            Some(_) => Health::Confirmed,
        }
    }
}
