//! Messages of the replica actor.

use crate::disk::{DiskError, Synced};
use crate::status::ReplicaStatus;
use mangospindle_consensus::Message;
use mangospindle_rpc::{ProposeResult, QueryResult};
use mangospindle_state::ClaimKey;
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

/// A question about an at-most-once action.
#[derive(actix::Message)]
#[rtype(result = "()")]
pub(crate) struct QueryClaim {
    pub(crate) key: ClaimKey,
    pub(crate) reply: oneshot::Sender<QueryResult>,
}

/// VMs that the platform's list has dropped, with the processes that ran on them.
#[derive(actix::Message)]
#[rtype(result = "()")]
pub(crate) struct VmsGone(pub(crate) BTreeMap<String, u64>);

/// What the disk thread has finished.
#[derive(actix::Message)]
#[rtype(result = "()")]
pub(crate) struct DiskDone(pub(crate) Result<Synced, DiskError>);

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
#[rtype(result = "ReplicaStatus")]
pub(crate) struct GetStatus;
