//! The actor that drives the consensus node, the disk thread and the state machine.

mod apply;
mod disk_failure;
mod drive;
mod handlers;
mod leader_tasks;
pub(crate) mod messages;
mod order_history;
mod pending_proposals;
pub(crate) mod pending_queries;
mod report;
mod send_barrier;
mod stop;

use crate::audit_export::AuditExport;
use crate::disk::DiskWriter;
use crate::limits::{LEADER_TASK_INTERVAL, SNAPSHOT_THRESHOLD_PERCENT, TICK_INTERVAL};
use crate::metrics::Metrics;
use crate::options::ReplicaOptions;
use crate::peers::Peers;
use crate::published_state::PublishedState;
use crate::wall_clock::WallClock;
use actix::{Actor, AsyncContext, Context};
use mangospindle_consensus::{Input, Node, Role};
use mangospindle_model::Clock;
use order_history::OrderHistory;
use pending_proposals::PendingProposals;
use pending_queries::PendingQueries;
use rand::Rng;
use send_barrier::SendBarrier;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use stop::StopProgress;
use tokio::sync::oneshot;

/// Components of a [`Replica`].
pub(crate) struct Parts {
    pub(crate) options: ReplicaOptions,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) wall_clock: Arc<dyn WallClock>,
    pub(crate) node: Node,
    pub(crate) published: Rc<PublishedState>,
    pub(crate) disk: DiskWriter,
    pub(crate) audit: AuditExport,
    pub(crate) peers: Rc<Peers>,
    pub(crate) metrics: Metrics,
    /// Index of the snapshot on disk, and its size in bytes.
    pub(crate) snapshot: Option<(u64, usize)>,
}

/// Lifecycle phase of a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Participates in the replicated log.
    Running,
    /// Finishes pending proposals and accepts no new ones.
    Stopping(StopProgress),
    /// The disk failed, or a snapshot could not be decoded. The replica sends and accepts nothing until
    /// it has read its data directory again.
    DiskFailed,
}

/// A control replica.
pub(crate) struct Replica {
    parts: Parts,
    phase: Phase,
    /// Inputs that are processed together at the next flush.
    inputs: Vec<Input>,
    flush_scheduled: bool,
    proposals: PendingProposals,
    orders: OrderHistory,
    queries: PendingQueries,
    send_barrier: SendBarrier,
    /// Index and term of the last applied entry.
    applied: (u64, u64),
    /// Number of entries, and bytes of commands, applied since the last snapshot.
    applied_since_snapshot: (u64, u64),
    last_snapshot_bytes: u64,
    /// Scale of the snapshot thresholds at this replica, in percent.
    snapshot_percent: u64,
    next_bootstrap_at: Option<Duration>,
    next_expire_at: Duration,
    request_sequence: u64,
    stop_requested: bool,
    stopped_tx: Option<oneshot::Sender<()>>,
}

impl Replica {
    pub(crate) fn new(parts: Parts) -> Self {
        let now = parts.clock.now();
        let snapshot = parts.snapshot;
        let mut replica = Replica {
            parts,
            phase: Phase::Running,
            inputs: Vec::new(),
            flush_scheduled: false,
            proposals: PendingProposals::default(),
            orders: OrderHistory::default(),
            queries: PendingQueries::default(),
            send_barrier: SendBarrier::default(),
            applied: (0, 0),
            applied_since_snapshot: (0, 0),
            last_snapshot_bytes: 0,
            snapshot_percent: rand::rng().random_range(SNAPSHOT_THRESHOLD_PERCENT),
            next_bootstrap_at: None,
            next_expire_at: now,
            request_sequence: 0,
            stop_requested: false,
            stopped_tx: None,
        };
        replica.restart_log(snapshot);
        replica
    }

    /// Starts from the log and the snapshot on disk. `snapshot` is the index of the snapshot, and its size
    /// in bytes.
    fn restart_log(&mut self, snapshot: Option<(u64, usize)>) {
        let (index, bytes) = snapshot.unwrap_or_default();
        self.inputs.clear();
        self.send_barrier = SendBarrier::default();
        self.orders.restart(index);
        self.applied = (index, 0);
        self.applied_since_snapshot = (0, 0);
        self.last_snapshot_bytes = bytes as u64;
        self.next_bootstrap_at = None;
    }

    /// Whether this replica leads and has applied everything that leaders before it committed.
    fn is_ready_leader(&self) -> bool {
        self.parts.node.role() == Role::Leader && self.applied.1 == self.parts.node.term()
    }

    fn now(&self) -> Duration {
        self.parts.clock.now()
    }
}

impl Actor for Replica {
    type Context = Context<Self>;

    fn started(&mut self, cx: &mut Self::Context) {
        cx.run_interval(TICK_INTERVAL, |replica, cx| {
            replica.inputs.push(Input::Tick);
            replica.flush(cx);
            replica.advance_stop(cx);
        });
        cx.run_interval(LEADER_TASK_INTERVAL, |replica, cx| {
            replica.run_leader_tasks(cx)
        });
    }
}
