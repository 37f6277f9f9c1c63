use crate::{Member, Membership, Progress, ProposalId};
use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

/// Rounds whose start times are kept. An answer to an older round is useless: 64 heartbeats of
/// 100 ms are longer than any election timeout.
const KEPT_ROUNDS: usize = 64;

/// A planned change of leader.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Transfer {
    pub(crate) to: Member,
    /// When the leader gives up and accepts proposals again.
    pub(crate) deadline: Duration,
    pub(crate) sent: bool,
}

/// State that a node has only while it leads.
#[derive(Debug)]
pub(crate) struct Leadership {
    pub(crate) progress: BTreeMap<Member, Progress>,
    pub(crate) proposals: BTreeMap<u64, ProposalId>,
    pub(crate) transfer: Option<Transfer>,
    /// When newcomers became voters whose predecessors, not heard since, were not removed yet.
    pub(crate) successions: Vec<Duration>,
    /// Whether a voter was removed for a newcomer that is still a learner.
    pub(crate) room_made: bool,
    /// Position of the first entry of the term.
    pub(crate) first: u64,
    pub(crate) next_heartbeat: Duration,
    pub(crate) round: u64,
    rounds: VecDeque<(u64, Duration)>,
}

impl Leadership {
    pub(crate) fn new(first: u64, now: Duration) -> Self {
        Self {
            progress: BTreeMap::new(),
            proposals: BTreeMap::new(),
            transfer: None,
            successions: Vec::new(),
            room_made: false,
            first,
            next_heartbeat: now,
            round: 0,
            rounds: VecDeque::new(),
        }
    }

    pub(crate) fn begin_round(&mut self, now: Duration) {
        self.round += 1;
        self.rounds.push_back((self.round, now));
        if self.rounds.len() > KEPT_ROUNDS {
            self.rounds.pop_front();
        }
    }

    pub(crate) fn round_start(&self, round: u64) -> Option<Duration> {
        self.rounds
            .iter()
            .find(|(number, _)| *number == round)
            .map(|(_, start)| *start)
    }

    /// The value that a majority of the voters reaches.
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
