//! Steps of the consensus node and its outputs.

use super::messages::Flush;
use super::{Parts, Phase, Replica};
use crate::disk_writer::DiskWrite;
use actix::{AsyncContext, Context};
use mangospindle_consensus::{Input, Message, Output, Role};
use mangospindle_rpc::ProposeResult;
use mangospindle_state::Outcome;
use mangospindle_telemetry::event;
use std::collections::BTreeMap;

impl Replica {
    /// Adds an input. All inputs that arrive before the flush share appends and syncs.
    pub(super) fn push_input(&mut self, input: Input, cx: &mut Context<Self>) {
        self.inputs.push(input);
        if !self.flush_scheduled {
            self.flush_scheduled = true;
            cx.notify(Flush);
        }
    }

    /// Handles all inputs that have been collected.
    pub(super) fn flush(&mut self, cx: &mut Context<Self>) {
        self.flush_scheduled = false;
        let inputs = std::mem::take(&mut self.inputs);
        if self.phase == Phase::DiskFailed {
            self.queries.abandon();
            self.observe();
            return;
        }
        let now = self.now();
        let outputs = self.parts.node.step_all(now, inputs);
        self.handle_outputs(outputs);
        if self.phase == Phase::DiskFailed {
            return;
        }
        self.publish();
        self.export_audit();
        self.maybe_compact(cx);
    }

    fn handle_outputs(&mut self, outputs: Vec<Output>) {
        let mut outcomes: BTreeMap<u64, Outcome> = BTreeMap::new();
        for output in outputs {
            match output {
                Output::PersistHardState(state) => {
                    let job = self.parts.disk.submit(DiskWrite::HardState(state));
                    self.gate.close(job);
                }
                Output::PersistEntries(entries) => {
                    self.parts.disk.submit(DiskWrite::Entries(entries));
                }
                Output::PersistSnapshot(snapshot) => {
                    if !self.restore(&snapshot) {
                        return;
                    }
                    let job = self.parts.disk.submit(DiskWrite::InstallSnapshot(snapshot));
                    self.gate.close(job);
                }
                Output::SaveSnapshot(snapshot) => {
                    self.parts.disk.submit(DiskWrite::SaveSnapshot(snapshot));
                }
                Output::Send(message) => {
                    if let Some(message) = self.gate.pass(message) {
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
                    self.proposals.finish(id, result);
                }
                Output::ProposalFailed { id, error } => {
                    self.parts.metrics.count_failure(error);
                    self.proposals.fail(id, error);
                }
                Output::RoleChanged(role) => self.role_changed(role),
            }
        }
    }

    fn role_changed(&mut self, role: Role) {
        self.bootstrap_at = None;
        event!(
            Info,
            "role_changed",
            "role" => format!("{role:?}"),
            "term" => self.parts.node.term(),
            "last_index" => self.parts.node.last_index(),
        );
    }

    /// Sends a message to its replica. Lost messages are the consensus node's concern.
    pub(super) fn send(&self, message: Message) {
        if let Some(peer) = self.parts.peers.link(message.to.replica) {
            peer.send(message);
        }
    }

    /// Shows the node's present state to connections and metrics.
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
        self.queries
            .answer(&published.state.borrow(), published.confirmed_at.get(), now);
        self.observe();
    }

    fn observe(&self) {
        let Parts {
            node,
            published,
            metrics,
            ..
        } = &self.parts;
        metrics.observe(node, published, self.applied.0, self.now());
    }
}
