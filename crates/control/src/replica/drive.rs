//! Steps the consensus node and handles its outputs.

use super::messages::Flush;
use super::{Parts, Phase, Replica};
use crate::disk::DiskWrite;
use actix::{AsyncContext, Context};
use mangospindle_consensus::{Input, Message, Output, Role};
use mangospindle_rpc::ProposeResult;
use mangospindle_state::Outcome;
use mangospindle_telemetry::event;
use std::collections::BTreeMap;
use std::sync::atomic::Ordering;

impl Replica {
    /// Queues an input and schedules a flush. All inputs queued before the flush share appends and
    /// syncs.
    pub(super) fn push_input(&mut self, input: Input, cx: &mut Context<Self>) {
        self.inputs.push(input);
        if !self.flush_scheduled {
            self.flush_scheduled = true;
            cx.notify(Flush);
        }
    }

    /// Steps the consensus node with all queued inputs.
    pub(super) fn flush(&mut self, cx: &mut Context<Self>) {
        self.flush_scheduled = false;
        let inputs = std::mem::take(&mut self.inputs);
        if self.phase == Phase::DiskFailed {
            self.queries.refuse_all();
            self.update_metrics();
            return;
        }
        let now = self.now();
        let outputs = self.parts.node.step_all(now, inputs);
        self.handle_outputs(outputs, cx);
        if self.phase == Phase::DiskFailed {
            return;
        }
        self.publish();
        self.export_audit();
        self.compact_if_due(cx);
    }

    fn handle_outputs(&mut self, outputs: Vec<Output>, cx: &mut Context<Self>) {
        let mut outcomes: BTreeMap<u64, Outcome> = BTreeMap::new();
        for output in outputs {
            match output {
                Output::PersistHardState(state) => {
                    let write = self.parts.disk.submit(DiskWrite::HardState(state));
                    self.send_barrier.add_write(write);
                }
                Output::PersistEntries(entries) => {
                    self.parts.disk.submit(DiskWrite::Entries(entries));
                }
                Output::PersistSnapshot(snapshot) => {
                    if !self.restore_snapshot(&snapshot, cx) {
                        return;
                    }
                    let write = self.parts.disk.submit(DiskWrite::InstallSnapshot(snapshot));
                    self.send_barrier.add_write(write);
                }
                Output::SaveSnapshot(snapshot) => {
                    self.parts.disk.submit(DiskWrite::SaveSnapshot(snapshot));
                }
                Output::Send(message) => {
                    if let Some(message) = self.send_barrier.send_or_hold(message) {
                        self.send(message);
                    }
                }
                Output::Commit(entry) => {
                    let index = entry.index;
                    if let Some(outcome) = self.apply(entry) {
                        outcomes.insert(index, outcome);
                    }
                }
                Output::ProposalCommitted { id, index } => {
                    let result = match outcomes.remove(&index) {
                        Some(outcome) => ProposeResult::Outcome(outcome),
                        None => ProposeResult::Unknown,
                    };
                    self.parts.metrics.count_proposal(&result);
                    self.orders.finish(id);
                    self.proposals.resolve(id, result);
                }
                Output::ProposalFailed { id, error } => {
                    self.parts.metrics.count_failed_proposal(error);
                    self.orders.finish(id);
                    self.proposals.fail(id, error);
                }
                Output::RoleChanged(role) => self.on_role_changed(role),
            }
        }
    }

    fn on_role_changed(&mut self, role: Role) {
        self.next_bootstrap_at = None;
        event!(
            Info,
            "role_changed",
            "role" => format!("{role:?}"),
            "term" => self.parts.node.term(),
            "last_index" => self.parts.node.last_index(),
        );
    }

    /// Sends a message to its destination. Delivery is not guaranteed; the consensus node handles lost
    /// messages.
    pub(super) fn send(&self, message: Message) {
        if let Some(peer) = self.parts.peers.link(message.to.replica) {
            peer.send(message);
        }
    }

    /// Publishes the current state of the node to connections and metrics.
    pub(super) fn publish(&mut self) {
        let now = self.now();
        let node = &self.parts.node;
        let published = &self.parts.published;
        let age = node.confirmed_age(now);
        published
            .confirmed_at
            .set(age.map(|age| now.saturating_sub(age)));
        published.role.set(node.role());
        published.leader.set(node.leader());
        let members = node.membership().members().map(|m| m.replica);
        *published.members.borrow_mut() = members.collect();
        published.publish_version();
        published
            .applied_index
            .store(self.applied.0, Ordering::Relaxed);
        self.queries
            .answer(&published.state.borrow(), published.confirmed_at.get(), now);
        self.update_metrics();
    }

    fn update_metrics(&self) {
        let Parts {
            node,
            published,
            metrics,
            ..
        } = &self.parts;
        metrics.update(node, published, self.applied.0, self.now());
    }
}
