use crate::key_digest::truncate_digest;
use crate::{Command, Outcome, RequestId};
use sha2::{Digest, Sha256};
use std::collections::{BTreeMap, VecDeque};

/// Retention of the outcome of an operator's request.
pub(crate) const RETENTION_MS: u64 = 24 * 3600 * 1000;

/// Maximum number of recorded outcomes: nine days at the target of 1,100 changes per day.
pub(crate) const MAX_OUTCOMES: usize = 10_000;

/// The first outcome of a request.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct RecordedOutcome {
    /// Digest of actor and operation, to distinguish a resend from another change with the same
    /// identifier.
    pub(crate) digest: [u8; 16],
    pub(crate) at_ms: u64,
    pub(crate) outcome: Outcome,
}

/// Outcomes of operators' requests, recorded so that a resend receives the first outcome.
///
/// A resend that arrives after its outcome was removed is handled as a new request. If it has a
/// base version, that version makes it a conflict. A drain or a fence is executed again.
#[derive(Clone, Debug, Default)]
pub(crate) struct RequestOutcomes {
    outcomes: BTreeMap<RequestId, RecordedOutcome>,
    order: VecDeque<RequestId>,
}

impl RequestOutcomes {
    pub(crate) fn from_parts(outcomes_by_age: Vec<(RequestId, RecordedOutcome)>) -> Self {
        RequestOutcomes {
            order: outcomes_by_age.iter().map(|(id, _)| id.clone()).collect(),
            outcomes: outcomes_by_age.into_iter().collect(),
        }
    }

    /// All outcomes, oldest first.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (&RequestId, &RecordedOutcome)> {
        (self.order.iter()).filter_map(|id| Some((id, self.outcomes.get(id)?)))
    }

    pub(crate) fn get(&self, id: &RequestId) -> Option<&RecordedOutcome> {
        self.outcomes.get(id)
    }

    pub(crate) fn record(&mut self, id: &RequestId, recorded: RecordedOutcome) {
        self.outcomes.insert(id.clone(), recorded);
        self.order.push_back(id.clone());
        if self.order.len() > MAX_OUTCOMES {
            self.evict_oldest();
        }
    }

    pub(crate) fn has_expired_items(&self, now_ms: u64) -> bool {
        let oldest = self.order.front().and_then(|id| self.outcomes.get(id));
        oldest.is_some_and(|r| r.at_ms + RETENTION_MS <= now_ms)
    }

    pub(crate) fn expire(&mut self, now_ms: u64) {
        while self.has_expired_items(now_ms) {
            self.evict_oldest();
        }
    }

    fn evict_oldest(&mut self) {
        if let Some(id) = self.order.pop_front() {
            self.outcomes.remove(&id);
        }
    }
}

/// Digest of the actor and the operation of a command.
pub(crate) fn request_digest(command: &Command) -> [u8; 16] {
    let bytes = postcard::to_stdvec(&(&command.actor, &command.kind))
        // Encoding into memory fails only for sequences of unknown length. There are none here.
        .expect("the length of every sequence is known");
    truncate_digest(Sha256::digest(bytes).into())
}
