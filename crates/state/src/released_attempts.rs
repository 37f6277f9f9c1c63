use crate::Attempt;
use mangospindle_model::EntryId;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Time for which a released attempt is tracked individually.
pub(crate) const RETENTION_MS: u64 = 3600 * 1000;

/// Maximum number of released attempts that are tracked individually.
pub(crate) const MAX_TRACKED_ATTEMPTS: usize = 50_000;

/// Highest sequence number among a process's released attempts that are no longer tracked
/// individually.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct SequenceFloor {
    pub(crate) incarnation: u64,
    pub(crate) sequence: u64,
}

/// Attempts that their process released. A claim of such an attempt can still arrive. It must not
/// be granted, because no process would complete or release it.
///
/// When an attempt is no longer tracked individually, the floor of its process is raised to it. New
/// claims at or below the floor are refused. This bounds the memory without weakening the
/// guarantee. The cost is that a claim older than a release below the floor is refused
/// unnecessarily.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReleasedAttempts {
    attempts: BTreeSet<Attempt>,
    order: VecDeque<(u64, Attempt)>,
    floors: BTreeMap<EntryId, SequenceFloor>,
}

impl ReleasedAttempts {
    pub(crate) fn from_parts(
        order: VecDeque<(u64, Attempt)>,
        floors: BTreeMap<EntryId, SequenceFloor>,
    ) -> Self {
        ReleasedAttempts {
            attempts: order.iter().map(|(_, a)| *a).collect(),
            order,
            floors,
        }
    }

    pub(crate) fn order(&self) -> &VecDeque<(u64, Attempt)> {
        &self.order
    }

    pub(crate) fn floors(&self) -> &BTreeMap<EntryId, SequenceFloor> {
        &self.floors
    }

    /// Records a released attempt of the current process of its entry.
    pub(crate) fn record(&mut self, now_ms: u64, attempt: Attempt) {
        if self.attempts.insert(attempt) {
            self.order.push_back((now_ms, attempt));
        }
        if self.order.len() > MAX_TRACKED_ATTEMPTS {
            self.fold_oldest_into_floor();
        }
    }

    /// Whether a new claim of the attempt must be refused.
    pub(crate) fn must_refuse(&self, attempt: Attempt) -> bool {
        let at_or_below = |f: &SequenceFloor| {
            f.incarnation == attempt.incarnation && attempt.sequence <= f.sequence
        };
        self.attempts.contains(&attempt) || self.floors.get(&attempt.entry).is_some_and(at_or_below)
    }

    /// Removes the attempts of an entry's earlier processes, whose claims are refused anyway.
    pub(crate) fn remove_process(&mut self, entry: EntryId) {
        self.attempts.retain(|a| a.entry != entry);
        self.order.retain(|(_, a)| a.entry != entry);
        self.floors.remove(&entry);
    }

    pub(crate) fn has_expired_items(&self, now_ms: u64) -> bool {
        (self.order.front()).is_some_and(|(released_ms, _)| released_ms + RETENTION_MS <= now_ms)
    }

    pub(crate) fn expire(&mut self, now_ms: u64) {
        while self.has_expired_items(now_ms) {
            self.fold_oldest_into_floor();
        }
    }

    fn fold_oldest_into_floor(&mut self) {
        if let Some((_, attempt)) = self.order.pop_front() {
            self.attempts.remove(&attempt);
            let floor = self.floors.entry(attempt.entry).or_insert(SequenceFloor {
                incarnation: attempt.incarnation,
                sequence: attempt.sequence,
            });
            floor.sequence = floor.sequence.max(attempt.sequence);
        }
    }
}
