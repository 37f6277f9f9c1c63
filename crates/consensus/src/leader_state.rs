use crate::{Member, Membership, Progress, ProposalId};
use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

/// Number of heartbeat rounds whose start times are kept. A reply to an older round is useless:
/// 64 heartbeats of 100 ms take longer than any election timeout.
const MAX_TRACKED_ROUNDS: usize = 64;

/// A leadership transfer in progress.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LeadershipTransfer {
    pub(crate) to: Member,
    /// Time at which the leader abandons the transfer and accepts proposals again.
    pub(crate) deadline: Duration,
    pub(crate) timeout_now_sent: bool,
}

/// State that exists only while the node is the leader.
#[derive(Debug)]
pub(crate) struct LeaderState {
    pub(crate) progress: BTreeMap<Member, Progress>,
    pub(crate) proposals: BTreeMap<u64, ProposalId>,
    pub(crate) transfer: Option<LeadershipTransfer>,
    /// Index of the first entry of the term.
    pub(crate) first_index: u64,
    pub(crate) next_heartbeat: Duration,
    pub(crate) round: u64,
    rounds: VecDeque<(u64, Duration)>,
}

impl LeaderState {
    pub(crate) fn new(first_index: u64, now: Duration) -> Self {
        Self {
            progress: BTreeMap::new(),
            proposals: BTreeMap::new(),
            transfer: None,
            first_index,
            next_heartbeat: now,
            round: 0,
            rounds: VecDeque::new(),
        }
    }

    pub(crate) fn begin_round(&mut self, now: Duration) {
        self.round += 1;
        self.rounds.push_back((self.round, now));
        if self.rounds.len() > MAX_TRACKED_ROUNDS {
            self.rounds.pop_front();
        }
    }

    pub(crate) fn round_start(&self, round: u64) -> Option<Duration> {
        self.rounds
            .iter()
            .find(|(number, _)| *number == round)
            .map(|(_, start)| *start)
    }

    /// Returns the highest value that a majority of the voters has reached.
    pub(crate) fn majority_of<T, F>(membership: &Membership, value: F) -> Option<T>
    where
        T: Ord + Copy,
        F: Fn(Member) -> Option<T>,
    {
        let mut values: Vec<_> = membership.voters.iter().filter_map(|v| value(*v)).collect();
        values.sort_unstable();
        values
            .len()
            .checked_sub(membership.majority())
            .map(|position| values[position])
    }
}
