//! Exchanges the usage of allowances with entries and other replicas.

use crate::peers::Peers;
use crate::published_state::PublishedState;
use mangospindle_allowance::{MessageError, PeerUsage, UsageReport};
use mangospindle_consensus::ReplicaId;
use mangospindle_fleet::timing::PEER_USAGE_INTERVAL;
use mangospindle_model::Clock;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::sync::Arc;
use tokio::sync::Notify;

/// Sums up the usage that entries report and exchanges the sums with the other replicas.
pub(crate) struct UsageExchange {
    pub(crate) peers: Rc<Peers>,
    pub(crate) published: Rc<PublishedState>,
    pub(crate) clock: Arc<dyn Clock>,
    /// Wakes the task that sends sums, ahead of its interval.
    pub(crate) limits_changed: Notify,
}

impl UsageExchange {
    /// Handles a message of an entry or another replica; `None` if the bytes are another request.
    pub(crate) fn respond(&self, request: &[u8]) -> Option<Vec<u8>> {
        let reply = UsageReport::decode(request)
            .map(|report| report.map(|r| self.respond_to_entry(&r)))
            .or_else(|| PeerUsage::decode(request).map(|usage| usage.map(|u| self.record(&u))))?;
        Some(reply.unwrap_or_else(|e| refuse(&e)))
    }

    fn respond_to_entry(&self, report: &UsageReport) -> Vec<u8> {
        let now = self.clock.now();
        let entries = self.published.fleet().live_entries(now);
        let reply = self.published.usage().respond(now, report, entries);
        reply.encode()
    }

    fn record(&self, usage: &PeerUsage) -> Vec<u8> {
        self.published.usage().record_peer(self.clock.now(), usage);
        Vec::new()
    }

    /// Applies the allowances of each new configuration until the future is dropped.
    pub(crate) async fn follow_limits(self: Rc<Self>) {
        let mut version = self.published.version.subscribe();
        let mut known_table = None;
        loop {
            if let Some(table) = self.changed_table(known_table) {
                known_table = Some(table);
                let state = self.published.state.borrow();
                let workspaces = &state.config().routes.workspaces;
                (self.published.usage()).set_limits(self.clock.now(), workspaces);
                self.limits_changed.notify_one();
            }
            // The sender lives as long as the replica.
            if version.changed().await.is_err() {
                return;
            }
        }
    }

    /// Returns what identifies the current table if it is not the known one: its number, and whether an
    /// operator has put it, because the first table may have number 0.
    fn changed_table(&self, known: Option<(u64, bool)>) -> Option<(u64, bool)> {
        let state = self.published.state.borrow();
        let routes = &state.config().routes;
        Some((routes.number, routes.is_set())).filter(|table| known != Some(*table))
    }

    /// Sends the sums of this replica to the others until the future is dropped, also right after a new
    /// configuration: a replica that has just started knows no levels until it has heard from another one. At
    /// most one message to each replica is unanswered.
    pub(crate) async fn send_usage(self: Rc<Self>) {
        let unanswered: Rc<RefCell<BTreeSet<ReplicaId>>> = Rc::default();
        loop {
            // The sums are sent whether the interval ended or the limits changed.
            let _ = tokio::time::timeout(PEER_USAGE_INTERVAL, self.limits_changed.notified()).await;
            let message: Rc<[u8]> = match &*self.published.usage() {
                usage if usage.has_limits() => usage.peer_usage(self.clock.now()).encode().into(),
                _ => continue,
            };
            for member in self.published.members.borrow().iter().copied() {
                let Some(link) = self.peers.link(member) else {
                    continue;
                };
                if !unanswered.borrow_mut().insert(member) {
                    continue;
                }
                let (message, unanswered) = (Rc::clone(&message), Rc::clone(&unanswered));
                tokio::task::spawn_local(async move {
                    // The next message holds the same totals, so that a lost one needs no repetition.
                    let _ = link.exchange(&message).await;
                    unanswered.borrow_mut().remove(&member);
                });
            }
        }
    }
}

/// The reply to a message that cannot be decoded.
fn refuse(e: &MessageError) -> Vec<u8> {
    log::warn!("{e}");
    Vec::new()
}
