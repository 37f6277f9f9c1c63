//! Messages of the replica actor.

use super::pending_queries::ConfirmedQuery;
use crate::admin::StatusReport;
use crate::disk_writer::{DiskError, SyncedBatch};
use mangospindle_consensus::Message;
use mangospindle_rpc::ProposeResult;
use mangospindle_state::AuditPage;
use std::collections::BTreeMap;
use tokio::sync::oneshot;

/// Messages of the replicated log.
#[derive(actix::Message)]
#[rtype(result = "()")]
pub(crate) struct Deliver(pub(crate) Vec<Message>);

/// A proposal of an encoded command.
#[derive(actix::Message)]
#[rtype(result = "()")]
pub(crate) struct Propose {
    pub(crate) command: Vec<u8>,
    /// Whether a follower forwarded it, so that it is not forwarded again.
    pub(crate) forwarded: bool,
    pub(crate) reply: oneshot::Sender<ProposeResult>,
}

/// A question that is answered from a confirmed state.
#[derive(actix::Message)]
#[rtype(result = "()")]
pub(crate) struct SubmitQuery(pub(crate) ConfirmedQuery);

/// Reads audit records after a sequence number, as this replica has them.
#[derive(actix::Message)]
#[rtype(result = "AuditPage")]
pub(crate) struct GetAudit {
    pub(crate) after: u64,
    pub(crate) limit: usize,
}

/// VMs that the platform's list has dropped, with the processes that ran on them.
#[derive(actix::Message)]
#[rtype(result = "()")]
pub(crate) struct VmsGone(pub(crate) BTreeMap<String, u64>);

/// What the disk thread has finished.
#[derive(actix::Message)]
#[rtype(result = "()")]
pub(crate) struct DiskDone(pub(crate) Result<SyncedBatch, DiskError>);

/// Handles all inputs that have been collected.
#[derive(actix::Message)]
#[rtype(result = "()")]
pub(crate) struct Flush;

/// Begins the graceful stop; the sender fires when the process may exit.
#[derive(actix::Message)]
#[rtype(result = "()")]
pub(crate) struct Stop(pub(crate) oneshot::Sender<()>);

/// Reads the status.
#[derive(actix::Message)]
#[rtype(result = "StatusReport")]
pub(crate) struct GetStatus;
