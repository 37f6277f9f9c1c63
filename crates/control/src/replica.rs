//! The actor that drives the consensus node, the disk thread and the state machine.

mod apply;
mod drive;
mod duties;
mod gate;
mod handlers;
pub(crate) mod messages;
pub(crate) mod pending_queries;
mod proposals;
mod report;
mod stop;

use crate::audit_export::AuditExport;
use crate::disk_writer::DiskWriter;
use crate::limits::{LEADER_DUTIES, SNAPSHOT_PERCENT, TICK};
use crate::metrics::Metrics;
use crate::options::ReplicaOptions;
use crate::peers::Peers;
use crate::published_state::PublishedState;
use crate::wall_clock::WallClock;
use actix::{Actor, AsyncContext, Context};
use gate::Gate;
use mangospindle_consensus::{Input, Node};
use mangospindle_model::Clock;
use pending_queries::PendingQueries;
use proposals::Proposals;
use rand::Rng;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;

/// What a [`Replica`] is built from.
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
    /// Position and size of the snapshot on disk.
    pub(crate) snapshot: Option<(u64, usize)>,
}

/// Whether the replica takes part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Takes part in the replicated log.
    Running,
    /// Finishes proposals in progress and accepts no new ones.
    Stopping {
        /// When the stop began.
        since: Duration,
        /// Whether leadership was handed over.
        handing_over: Option<Duration>,
    },
    /// The disk failed: the replica sends nothing and accepts nothing until it is restarted.
    DiskFailed,
}

/// A control replica.
pub(crate) struct Replica {
    parts: Parts,
    phase: Phase,
    /// Inputs that are handled together with the next flush.
    inputs: Vec<Input>,
    flush_scheduled: bool,
    proposals: Proposals,
    queries: PendingQueries,
    gate: Gate,
    /// Last applied position and its term.
    applied: (u64, u64),
    /// Entries and bytes applied since the last snapshot.
    since_snapshot: (u64, u64),
    last_snapshot_bytes: u64,
    /// Share of the snapshot thresholds that this replica uses.
    snapshot_percent: u64,
    bootstrap_at: Option<Duration>,
    expire_at: Duration,
    request_sequence: u64,
    exit: Option<oneshot::Sender<()>>,
}

impl Replica {
    pub(crate) fn new(parts: Parts) -> Self {
        let now = parts.clock.now();
        let (index, bytes) = parts.snapshot.unwrap_or_default();
        Replica {
            parts,
            phase: Phase::Running,
            inputs: Vec::new(),
            flush_scheduled: false,
            proposals: Proposals::default(),
            queries: PendingQueries::default(),
            gate: Gate::default(),
            applied: (index, 0),
            since_snapshot: (0, 0),
            last_snapshot_bytes: bytes as u64,
            snapshot_percent: rand::rng().random_range(SNAPSHOT_PERCENT),
            bootstrap_at: None,
            expire_at: now,
            request_sequence: 0,
            exit: None,
        }
    }

    fn now(&self) -> Duration {
        self.parts.clock.now()
    }
}

impl Actor for Replica {
    type Context = Context<Self>;

    fn started(&mut self, cx: &mut Self::Context) {
        cx.run_interval(TICK, |replica, cx| {
            replica.inputs.push(Input::Tick);
            replica.flush(cx);
            replica.continue_stop(cx);
        });
        cx.run_interval(LEADER_DUTIES, |replica, cx| replica.leader_duties(cx));
    }
}
