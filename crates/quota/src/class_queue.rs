use crate::{AdmissionRequest, Ticket};
use std::collections::VecDeque;
use std::time::Duration;

/// A request that waits for a slot.
#[derive(Clone, Copy, Debug)]
pub(crate) struct QueuedRequest {
    pub(crate) ticket: Ticket,
    pub(crate) request: AdmissionRequest,
    /// Deadline of the caller on the local clock.
    pub(crate) deadline: Duration,
    /// Time at which the queued request is refused; at most the deadline.
    pub(crate) expires: Duration,
}

/// Queued requests of one service, by the rank of their class in the shed order. Rank 0 is shed
/// first.
#[derive(Clone, Debug, Default)]
pub(crate) struct ClassQueue {
    by_rank: [VecDeque<QueuedRequest>; 3],
}

impl ClassQueue {
    /// Number of queued requests of one class.
    pub(crate) fn len(&self, rank: usize) -> usize {
        self.by_rank[rank].len()
    }

    /// Whether a class with a rank above `rank`, which is shed later, has queued requests.
    pub(crate) fn has_requests_above(&self, rank: usize) -> bool {
        self.by_rank[rank + 1..].iter().any(|q| !q.is_empty())
    }

    pub(crate) fn push(&mut self, rank: usize, queued: QueuedRequest) {
        self.by_rank[rank].push_back(queued);
    }

    /// The queued request at a position of the class's queue.
    pub(crate) fn get(&self, rank: usize, position: usize) -> Option<QueuedRequest> {
        self.by_rank[rank].get(position).copied()
    }

    pub(crate) fn remove(&mut self, rank: usize, position: usize) {
        self.by_rank[rank].remove(position);
    }

    /// Removes the request with this ticket. Returns whether it was still queued.
    pub(crate) fn cancel(&mut self, ticket: Ticket) -> bool {
        let before = self.total();
        for queue in &mut self.by_rank {
            queue.retain(|q| q.ticket != ticket);
        }
        self.total() < before
    }

    /// Removes and returns the requests that expired by `now`, with the rank of their class.
    pub(crate) fn take_expired(&mut self, now: Duration) -> Vec<(usize, QueuedRequest)> {
        let mut expired = Vec::new();
        for (rank, queue) in self.by_rank.iter_mut().enumerate() {
            queue.retain(|q| {
                let due = q.expires <= now;
                if due {
                    expired.push((rank, *q));
                }
                !due
            });
        }
        expired
    }

    pub(crate) fn next_expiry(&self) -> Option<Duration> {
        self.by_rank.iter().flatten().map(|q| q.expires).min()
    }

    fn total(&self) -> usize {
        self.by_rank.iter().map(VecDeque::len).sum()
    }
}
