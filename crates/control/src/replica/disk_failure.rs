//! The failure of the disk, and the return to service once the disk works again.

use super::messages::{DiskDone, DiskReopened};
use super::{Phase, Replica};
use crate::disk::DiskWriter;
use crate::disk_recovery::{OpenedDisk, start_reopening};
use crate::running_replica::node_settings;
use actix::{AsyncContext, Context, Handler};
use mangospindle_consensus::{Node, Role};
use mangospindle_telemetry::event;
use miette::{IntoDiagnostic, Result};
use std::sync::Arc;

impl Replica {
    /// Stops participating in the log after a failure that makes acknowledgments unsafe, and returns once
    /// the data directory can be read and written again.
    pub(super) fn fail_stop(&mut self, reason: &str, cx: &mut Context<Self>) {
        if self.phase == Phase::DiskFailed {
            return;
        }
        self.phase = Phase::DiskFailed;
        let published = &self.parts.published;
        published.role.set(Role::Learner);
        published.leader.set(None);
        published.confirmed_at.set(None);
        published.take_out_of_service();
        self.parts.metrics.disk_failed.set(1);
        let unknown = self.proposals.fail_all();
        self.queries.refuse_all();
        event!(
            Error,
            "disk_failed",
            "reason" => reason,
            "unknown_proposals" => unknown,
            "effect" => "this replica accepts and confirms nothing until its disk works again",
        );
        self.start_reopening(cx);
    }

    fn start_reopening(&mut self, cx: &mut Context<Self>) {
        let replica = cx.address();
        let wanted_by = replica.clone();
        let started = start_reopening(
            self.parts.options.data_dir.clone(),
            self.parts.disk.close(),
            Arc::clone(&self.parts.clock),
            move || wanted_by.connected(),
            move |opened| replica.do_send(DiskReopened(opened)),
        );
        if let Err(e) = started {
            event!(Error, "disk_unusable", "reason" => e);
        }
    }

    /// Continues from what was read back from the disk, like a replica that has just started. Nothing of
    /// what this replica had in memory counts any more.
    fn return_to_service(&mut self, opened: OpenedDisk, cx: &mut Context<Self>) -> Result<()> {
        let OpenedDisk {
            wal,
            recovered,
            state,
            audit,
            audit_file,
        } = opened;
        let settings = node_settings(&self.parts.options, &wal);
        let snapshot = recovered.snapshot.as_ref().map(|s| (s.index, s.data.len()));
        let now = self.now();
        let node = Node::new(settings, recovered, rand::random(), now).into_diagnostic()?;
        let audit_file_bytes = audit_file.total_bytes();
        let disk_done = cx.address();
        let clock = Arc::clone(&self.parts.clock);
        let disk = DiskWriter::start(wal, audit_file, clock, move |result| {
            disk_done.do_send(DiskDone(result));
        })
        .into_diagnostic()?;
        self.parts.node = node;
        self.parts.disk = disk;
        self.parts.audit = audit;
        self.parts.published.state.replace(state);
        self.parts.published.out_of_service.set(false);
        self.parts.metrics.disk_failed.set(0);
        (self.parts.metrics.audit_file_bytes).set(audit_file_bytes as i64);
        self.restart_log(snapshot);
        self.phase = Phase::Running;
        Ok(())
    }
}

impl Handler<DiskReopened> for Replica {
    type Result = ();

    fn handle(&mut self, message: DiskReopened, cx: &mut Context<Self>) {
        if self.phase != Phase::DiskFailed || self.stop_requested {
            return;
        }
        if let Err(e) = self.return_to_service(message.0, cx) {
            event!(Error, "disk_unusable", "reason" => e);
        }
    }
}
