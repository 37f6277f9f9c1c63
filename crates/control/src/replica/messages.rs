//! Messages of the replica actor.

use super::pending_queries::ConfirmedQuery;
use crate::admin::StatusReport;
use crate::disk::{DiskError, SyncedBatch};
use crate::disk_recovery::OpenedDisk;
use mangospindle_consensus::Message;
use mangospindle_rpc::{Proposal, ProposeResult};
use mangospindle_state::AuditPage;
use std::collections::BTreeMap;
use tokio::sync::oneshot;

/// Consensus messages from other replicas.
#[derive(actix::Message)]
#[rtype(result = "()")]
pub(crate) struct Deliver(pub(crate) Vec<Message>);

/// Proposes a command.
#[derive(actix::Message)]
#[rtype(result = "()")]
pub(crate) struct Propose {
    pub(crate) proposal: Proposal,
    pub(crate) reply: oneshot::Sender<ProposeResult>,
}

/// Submits a query that is answered from a confirmed state.
#[derive(actix::Message)]
#[rtype(result = "()")]
pub(crate) struct SubmitQuery(pub(crate) ConfirmedQuery);

/// Reads up to `limit` audit records after a sequence number, from this replica's state.
#[derive(actix::Message)]
#[rtype(result = "AuditPage")]
pub(crate) struct GetAudit {
    pub(crate) after: u64,
    pub(crate) limit: usize,
}

/// Fences VMs that are gone from the platform's list. Maps the name of each VM to the incarnation of
/// the process that ran on it.
#[derive(actix::Message)]
#[rtype(result = "()")]
pub(crate) struct FenceVms(pub(crate) BTreeMap<String, u64>);

/// Result of a batch of the disk thread.
#[derive(actix::Message)]
#[rtype(result = "()")]
pub(crate) struct DiskDone(pub(crate) Result<SyncedBatch, DiskError>);

/// The data directory was opened again after a failure of the disk.
#[derive(actix::Message)]
#[rtype(result = "()")]
pub(crate) struct DiskReopened(pub(crate) OpenedDisk);

/// Processes all queued inputs.
#[derive(actix::Message)]
#[rtype(result = "()")]
pub(crate) struct Flush;

/// Begins the graceful stop. The sender is notified when the process may exit.
#[derive(actix::Message)]
#[rtype(result = "()")]
pub(crate) struct Stop(pub(crate) oneshot::Sender<()>);

/// Reads the status report.
#[derive(actix::Message)]
#[rtype(result = "StatusReport")]
pub(crate) struct GetStatus;
