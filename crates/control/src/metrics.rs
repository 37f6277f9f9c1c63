use crate::disk::SyncedBatch;
use crate::health::Health;
use crate::published_state::PublishedState;
use mangospindle_consensus::{Node, ProposalError, Role};
use mangospindle_rpc::{ProposeResult, TrafficCounters};
use prometheus::{Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts, Registry};
use std::time::Duration;

/// Upper bounds of the buckets of the sync duration, in seconds.
const SYNC_BUCKETS_SECONDS: [f64; 9] = [
    0.000_25, 0.000_5, 0.001, 0.002_5, 0.005, 0.01, 0.05, 0.25, 1.0,
];

/// Metrics of a control replica.
#[derive(Clone)]
pub(crate) struct Metrics {
    pub(crate) disk_failed: IntGauge,
    role: IntGauge,
    has_leader: IntGauge,
    cut_off: IntGauge,
    lagging: IntGauge,
    term: IntGauge,
    commit_index: IntGauge,
    applied_index: IntGauge,
    last_index: IntGauge,
    version: IntGauge,
    confirmed_age_ms: IntGauge,
    watches: IntGauge,
    audit_trail_bytes: IntGauge,
    change_history_bytes: IntGauge,
    log_bytes: IntGauge,
    snapshot_bytes: IntGauge,
    pub(crate) audit_file_bytes: IntGauge,
    syncs: IntCounter,
    sync_seconds: Histogram,
    proposals: IntCounterVec,
    whole_lists_sent: IntGauge,
    list_differences_sent: IntGauge,
    peer_sent: IntGauge,
    peer_received: IntGauge,
    peer_counters: TrafficCounters,
    server_sent: IntGauge,
    server_received: IntGauge,
    server_counters: TrafficCounters,
}

/// Registers gauges under the replica's metric name prefix. Errors, such as a name that is already
/// registered, are left to the caller.
struct Registrar<'a>(&'a Registry);

impl Registrar<'_> {
    fn gauge(&self, name: &str, help: &str) -> Result<IntGauge, prometheus::Error> {
        let gauge = IntGauge::new(format!("mangospindle_control_{name}"), help)?;
        self.0.register(Box::new(gauge.clone()))?;
        Ok(gauge)
    }
}

impl Metrics {
    /// Creates and registers the metrics.
    pub(crate) fn new(
        registry: &Registry,
        peer_counters: TrafficCounters,
        server_counters: TrafficCounters,
    ) -> Result<Self, prometheus::Error> {
        let r = Registrar(registry);
        let syncs = IntCounter::new("mangospindle_control_syncs_total", "Disk syncs of the log.")?;
        let sync_seconds = Histogram::with_opts(
            HistogramOpts::new("mangospindle_control_sync_seconds", "Time of a disk sync.")
                .buckets(SYNC_BUCKETS_SECONDS.to_vec()),
        )?;
        let proposals = IntCounterVec::new(
            Opts::new(
                "mangospindle_control_proposals_total",
                "Proposals by outcome at this replica, forwarded ones included.",
            ),
            &["outcome"],
        )?;
        registry.register(Box::new(syncs.clone()))?;
        registry.register(Box::new(sync_seconds.clone()))?;
        registry.register(Box::new(proposals.clone()))?;
        Ok(Metrics {
            disk_failed: r.gauge(
                "disk_failed",
                "Whether the replica is out of service because its disk failed.",
            )?,
            role: r.gauge(
                "role",
                "0 learner, 1 follower, 2 pre-candidate, 3 candidate, 4 leader.",
            )?,
            has_leader: r.gauge("has_leader", "Whether the replica knows a leader.")?,
            cut_off: r.gauge("cut_off", "Whether the replica counts itself as cut off.")?,
            lagging: r.gauge(
                "lagging",
                "Whether the replica follows a leader and is behind it.",
            )?,
            term: r.gauge("term", "Current term.")?,
            commit_index: r.gauge("commit_index", "Last committed position.")?,
            applied_index: r.gauge("applied_index", "Last applied position.")?,
            last_index: r.gauge("last_index", "Last position of the log.")?,
            version: r.gauge("version", "Version of the configuration.")?,
            confirmed_age_ms: r.gauge(
                "confirmed_age_ms",
                "Time since the state was known to be current; -1 for never.",
            )?,
            watches: r.gauge("watches", "Watches that are open.")?,
            audit_trail_bytes: r.gauge(
                "audit_trail_bytes",
                "Bytes of audit records in memory and in each snapshot.",
            )?,
            change_history_bytes: r.gauge(
                "change_history_bytes",
                "Bytes of changes kept in memory for entries with older versions.",
            )?,
            log_bytes: r.gauge("log_bytes", "Bytes of log entries in memory.")?,
            snapshot_bytes: r.gauge(
                "snapshot_bytes",
                "Bytes of the latest snapshot, which is on disk and in memory.",
            )?,
            audit_file_bytes: r.gauge(
                "audit_file_bytes",
                "Bytes of the exported audit files on disk.",
            )?,
            whole_lists_sent: r.gauge(
                "whole_lists_sent",
                "Whole lists of endpoints sent to entries and replicas.",
            )?,
            list_differences_sent: r.gauge(
                "list_differences_sent",
                "Differences between lists of endpoints sent to entries and replicas.",
            )?,
            peer_sent: r.gauge(
                "peer_sent_bytes",
                "Bytes sent on connections that this replica opened to other replicas.",
            )?,
            peer_received: r.gauge(
                "peer_received_bytes",
                "Bytes received on connections that this replica opened to other replicas.",
            )?,
            server_sent: r.gauge(
                "server_sent_bytes",
                "Bytes sent on connections that replicas and entries opened to this replica.",
            )?,
            server_received: r.gauge(
                "server_received_bytes",
                "Bytes received on connections that replicas and entries opened to this replica.",
            )?,
            syncs,
            sync_seconds,
            proposals,
            peer_counters,
            server_counters,
        })
    }

    pub(crate) fn count_proposal(&self, result: &ProposeResult) {
        let outcome = match result {
            ProposeResult::Outcome(_) => "accepted",
            ProposeResult::NotAccepted => "not_accepted",
            ProposeResult::Unknown => "unknown",
            ProposeResult::Outdated => "outdated",
        };
        self.proposals.with_label_values(&[outcome]).inc();
    }

    pub(crate) fn count_failed_proposal(&self, error: ProposalError) {
        let result = match error {
            ProposalError::NotLeader | ProposalError::Rejected => ProposeResult::NotAccepted,
            ProposalError::Unknown => ProposeResult::Unknown,
        };
        self.count_proposal(&result);
    }

    pub(crate) fn observe_batch(&self, synced: &SyncedBatch) {
        self.audit_file_bytes.set(synced.audit_file_bytes as i64);
        if let Some(duration) = synced.sync_duration {
            self.syncs.inc();
            self.sync_seconds.observe(duration.as_secs_f64());
        }
    }

    pub(crate) fn update(
        &self,
        node: &Node,
        published: &PublishedState,
        applied: u64,
        now: Duration,
    ) {
        let role = match published.role.get() {
            Role::Learner => 0,
            Role::Follower => 1,
            Role::PreCandidate => 2,
            Role::Candidate => 3,
            Role::Leader => 4,
        };
        let age = published.confirmed_age(now);
        self.role.set(role);
        self.has_leader.set(published.leader.get().is_some().into());
        self.cut_off.set(published.cut_off(now).into());
        self.lagging
            .set((Health::from_published(published, now) == Health::Lagging).into());
        self.term.set(node.term() as i64);
        self.commit_index.set(node.commit_index() as i64);
        self.applied_index.set(applied as i64);
        self.last_index.set(node.last_index() as i64);
        self.version.set(published.version.borrow().0 as i64);
        self.confirmed_age_ms
            .set(age.map_or(-1, |age| age.as_millis() as i64));
        self.watches.set(published.open_watches.get() as i64);
        let retained = published.state.borrow().retained_bytes();
        self.audit_trail_bytes.set(retained.audit_trail as i64);
        self.change_history_bytes
            .set(retained.change_history as i64);
        self.log_bytes.set(node.log_bytes() as i64);
        self.snapshot_bytes.set(node.snapshot_bytes() as i64);
        let sent_lists = published.fleet().sent_lists();
        self.whole_lists_sent.set(sent_lists.whole as i64);
        self.list_differences_sent
            .set(sent_lists.differences as i64);
        self.peer_sent.set(self.peer_counters.bytes_sent() as i64);
        self.peer_received
            .set(self.peer_counters.bytes_received() as i64);
        self.server_sent
            .set(self.server_counters.bytes_sent() as i64);
        self.server_received
            .set(self.server_counters.bytes_received() as i64);
    }
}
