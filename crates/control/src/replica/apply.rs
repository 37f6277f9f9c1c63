//! Applies committed entries, takes and restores snapshots, and exports the audit trail.

use super::Replica;
use crate::disk::DiskWrite;
use crate::limits::{
    SNAPSHOT_MAX_LOG_BYTES, SNAPSHOT_MIN_ENTRIES, SNAPSHOT_MIN_LOG_BYTES, SNAPSHOT_SIZE_DIVISOR,
};
use crate::order_subject::OrderSubject;
use actix::Context;
use mangospindle_consensus::{Entry, Input, Member, Membership, Payload, Snapshot};
use mangospindle_model::ErrorKind;
use mangospindle_state::{Command, Outcome, State};
use mangospindle_telemetry::event;

impl Replica {
    /// Applies a committed entry. Returns the outcome if the entry is a command.
    pub(super) fn apply(&mut self, entry: Entry) -> Option<Outcome> {
        self.applied = (entry.index, entry.term);
        self.applied_since_snapshot.0 += 1;
        let bytes = match entry.payload {
            Payload::Command(bytes) => bytes,
            Payload::Membership(membership) => {
                log_membership(entry.index, &membership);
                return None;
            }
            Payload::Noop => return None,
        };
        self.applied_since_snapshot.1 += bytes.len() as u64;
        // Every replica refuses an undecodable command in the same way, so the states stay equal.
        let outcome = match postcard::from_bytes::<Command>(&bytes) {
            Ok(command) => self.apply_command(entry.index, &command),
            Err(e) => Outcome::Refused {
                kind: ErrorKind::BadRequest,
                detail: format!("the command cannot be decoded: {e}"),
                current_version: None,
            },
        };
        Some(outcome)
    }

    fn apply_command(&mut self, index: u64, command: &Command) -> Outcome {
        let mut state = self.parts.published.state.borrow_mut();
        let outcome = state.apply(index, command);
        // An order that changes nothing also is the newest one for its subject.
        if let Some(subject) = OrderSubject::of_change(&command.kind, state.config()) {
            self.orders.record(index, subject);
        }
        drop(state);
        // Further commands of the same batch could evict the records.
        self.export_audit();
        outcome
    }

    /// Replaces the state with a snapshot from the leader. Returns whether it could be decoded.
    pub(super) fn restore_snapshot(&mut self, snapshot: &Snapshot, cx: &mut Context<Self>) -> bool {
        match State::decode(&snapshot.data) {
            Ok(state) => {
                self.applied = (snapshot.index, snapshot.term);
                self.orders.restart(snapshot.index);
                self.applied_since_snapshot = (0, 0);
                self.last_snapshot_bytes = snapshot.data.len() as u64;
                *self.parts.published.state.borrow_mut() = state;
                event!(
                    Info,
                    "snapshot_installed",
                    "index" => snapshot.index,
                    "bytes" => snapshot.data.len(),
                );
                true
            }
            Err(e) => {
                let reason = format!("a snapshot from the leader cannot be decoded: {e}");
                self.fail_stop(&reason, cx);
                false
            }
        }
    }

    /// Takes a snapshot if enough entries have been applied since the last one.
    pub(super) fn compact_if_due(&mut self, cx: &mut Context<Self>) {
        let (entries, bytes) = self.applied_since_snapshot;
        let reached = |value: u64, limit: u64| value * 100 >= limit * self.snapshot_percent;
        let enough_entries =
            reached(entries, SNAPSHOT_MIN_ENTRIES) || reached(bytes, SNAPSHOT_MIN_LOG_BYTES);
        let due = reached(bytes, SNAPSHOT_MAX_LOG_BYTES)
            || enough_entries && reached(bytes, self.last_snapshot_bytes / SNAPSHOT_SIZE_DIVISOR);
        if !due {
            return;
        }
        let data = self.parts.published.state.borrow().encode();
        self.applied_since_snapshot = (0, 0);
        self.last_snapshot_bytes = data.len() as u64;
        event!(Info, "snapshot_taken", "index" => self.applied.0, "bytes" => data.len());
        let index = self.applied.0;
        self.push_input(Input::Compact { index, data }, cx);
    }

    /// Submits new audit records to the disk thread.
    pub(super) fn export_audit(&mut self) {
        loop {
            let state = self.parts.published.state.borrow();
            let records = self.parts.audit.next_records(&state);
            drop(state);
            if records.is_empty() {
                return;
            }
            self.parts.disk.submit(DiskWrite::Audit(records));
        }
    }
}

fn log_membership(index: u64, membership: &Membership) {
    let numbers = |members: &[Member]| {
        let numbers = members.iter().map(|m| m.replica.0.to_string());
        numbers.collect::<Vec<_>>().join(" ")
    };
    event!(
        Info,
        "members_changed",
        "index" => index,
        "voters" => numbers(&membership.voters),
        "learners" => numbers(&membership.learners),
    );
}
