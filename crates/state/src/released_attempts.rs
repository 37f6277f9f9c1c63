use crate::Attempt;
use mangospindle_model::EntryId;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Time for which a released attempt is remembered by itself.
pub(crate) const RETENTION_MS: u64 = 3600 * 1000;

/// Released attempts that are remembered by themselves at most.
pub(crate) const MAX_ATTEMPTS: usize = 50_000;

/// The newest attempt of a process that is no longer remembered by itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Floor {
    pub(crate) incarnation: u64,
    pub(crate) sequence: u64,
}

/// Attempts that their process gave up. A claim of one of them can still arrive, and must not stay
/// granted then, because nobody would ever complete or release it.
///
/// When an attempt is no longer remembered by itself, the floor of its process rises to it, and new
/// claims at or below the floor are refused. The memory is therefore bounded and the guarantee is
/// not: only a claim that is older than a forgotten release is refused without need.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReleasedAttempts {
    set: BTreeSet<Attempt>,
    order: VecDeque<(u64, Attempt)>,
    floors: BTreeMap<EntryId, Floor>,
}

impl ReleasedAttempts {
    pub(crate) fn from_parts(
        order: VecDeque<(u64, Attempt)>,
        floors: BTreeMap<EntryId, Floor>,
    ) -> Self {
        ReleasedAttempts {
            set: order.iter().map(|(_, a)| *a).collect(),
            order,
            floors,
        }
    }

    pub(crate) fn order(&self) -> &VecDeque<(u64, Attempt)> {
        &self.order
    }

    pub(crate) fn floors(&self) -> &BTreeMap<EntryId, Floor> {
        &self.floors
    }

    /// Remembers an attempt of the present process of its entry.
    pub(crate) fn record(&mut self, now: u64, attempt: Attempt) {
        if self.set.insert(attempt) {
            self.order.push_back((now, attempt));
        }
        if self.order.len() > MAX_ATTEMPTS {
            self.forget_oldest();
        }
    }

    /// Whether a new claim of the attempt must be refused.
    pub(crate) fn refuses(&self, attempt: Attempt) -> bool {
        let below =
            |f: &Floor| f.incarnation == attempt.incarnation && attempt.sequence <= f.sequence;
        self.set.contains(&attempt) || self.floors.get(&attempt.entry).is_some_and(below)
    }

    /// Forgets what an entry's earlier processes released: their claims are refused anyway.
    pub(crate) fn forget_process(&mut self, entry: EntryId) {
        self.set.retain(|a| a.entry != entry);
        self.order.retain(|(_, a)| a.entry != entry);
        self.floors.remove(&entry);
    }

    pub(crate) fn has_expired_items(&self, now: u64) -> bool {
        (self.order.front()).is_some_and(|(t, _)| t + RETENTION_MS <= now)
    }

    pub(crate) fn expire(&mut self, now: u64) {
        while self.has_expired_items(now) {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        if let Some((_, attempt)) = self.order.pop_front() {
            self.set.remove(&attempt);
            let floor = self.floors.entry(attempt.entry).or_insert(Floor {
                incarnation: attempt.incarnation,
                sequence: attempt.sequence,
            });
            floor.sequence = floor.sequence.max(attempt.sequence);
        }
    }
}
