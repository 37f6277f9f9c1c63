use crate::order_subject::OrderSubject;
use mangospindle_consensus::ProposalId;
use std::collections::{BTreeMap, HashMap};

/// Maximum number of subjects whose last order is known. With more, all orders up to now count as orders
/// for each subject.
const MAX_SUBJECTS: usize = 4096;

/// Log indexes of the last orders, also of those that changed nothing.
#[derive(Debug, Default)]
pub(super) struct OrderHistory {
    /// Orders up to this log index are not known one by one.
    known_after: u64,
    last: BTreeMap<OrderSubject, u64>,
    /// Orders that this leader has appended and not applied yet.
    in_progress: HashMap<ProposalId, OrderSubject>,
}

impl OrderHistory {
    /// Forgets all orders up to a log index.
    pub(super) fn restart(&mut self, index: u64) {
        self.known_after = index;
        self.last.clear();
        self.in_progress.clear();
    }

    /// Records an order that was applied.
    pub(super) fn record(&mut self, index: u64, subject: OrderSubject) {
        if self.last.len() >= MAX_SUBJECTS && !self.last.contains_key(&subject) {
            self.known_after = index;
            self.last.clear();
        }
        self.last.insert(subject, index);
    }

    /// Records an order that the leader appends.
    pub(super) fn start(&mut self, proposal: ProposalId, subject: OrderSubject) {
        self.in_progress.insert(proposal, subject);
    }

    /// Records that an appended order was applied, or failed.
    pub(super) fn finish(&mut self, proposal: ProposalId) {
        self.in_progress.remove(&proposal);
    }

    /// Whether an order that is based on a log index may be older than another one for its subject.
    pub(super) fn is_outdated(&self, subject: &OrderSubject, based_on: u64) -> bool {
        let last = self.last.get(subject).copied().unwrap_or(0);
        based_on < last.max(self.known_after) || self.in_progress.values().any(|s| s == subject)
    }
}
