use mangospindle_allowance::UsageTable;
use mangospindle_consensus::{Member, ReplicaId, Role};
use mangospindle_fleet::{EndpointList, ExchangeReply, Fleet, PeerKey, RestartReports};
use mangospindle_model::EntryId;
use mangospindle_rpc::{CUT_OFF_AGE, EntryReport};
use mangospindle_state::{EntryStatus, State};
use mangospindle_telemetry::event;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::atomic::AtomicU64;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::watch;

/// State that the replica actor publishes to the connections on its thread.
pub(crate) struct PublishedState {
    /// The replicated state as applied by this replica.
    pub(crate) state: RefCell<State>,
    /// Time at which the state was last confirmed as current, on this replica's clock.
    pub(crate) confirmed_at: Cell<Option<Duration>>,
    /// Role of the consensus node.
    pub(crate) role: Cell<Role>,
    /// The leader, if known.
    pub(crate) leader: Cell<Option<Member>>,
    /// Whether the replica refuses all work, because it is stopping or has failed.
    pub(crate) out_of_service: Cell<bool>,
    /// Version of the configuration, and a generation that is incremented to wake all watches.
    pub(crate) version: watch::Sender<(u64, u64)>,
    /// Number of open watches.
    pub(crate) open_watches: Cell<usize>,
    /// Known version and time of the latest watch request of each entry.
    pub(crate) entry_watches: RefCell<BTreeMap<EntryId, (u64, Duration)>>,
    /// Log index that this replica has applied. Also read by the threads that serve HTTP.
    pub(crate) applied_index: Arc<AtomicU64>,
    /// Replicas of the current membership.
    pub(crate) members: RefCell<Vec<ReplicaId>>,
    /// The fleet view: entries and endpoints. Also read by the threads that serve HTTP.
    fleet: Arc<Mutex<Fleet>>,
    /// Endpoints to which entries lost connections.
    pub(crate) restart_reports: RefCell<RestartReports>,
    /// Usage of the workspaces' allowances. Also read by the threads that serve HTTP.
    usage: Arc<Mutex<UsageTable>>,
    /// Number of restart reports, which wakes held requests.
    pub(crate) report_count: watch::Sender<u64>,
}

impl PublishedState {
    pub(crate) fn new(state: State, replica: ReplicaId) -> Rc<Self> {
        let version = state.config().version;
        Rc::new(PublishedState {
            state: RefCell::new(state),
            confirmed_at: Cell::new(None),
            role: Cell::new(Role::Learner),
            leader: Cell::new(None),
            out_of_service: Cell::new(false),
            version: watch::Sender::new((version, 0)),
            open_watches: Cell::new(0),
            entry_watches: RefCell::default(),
            applied_index: Arc::default(),
            members: RefCell::default(),
            fleet: Arc::new(Mutex::new(Fleet::new(rand::random()))),
            restart_reports: RefCell::new(RestartReports::new(rand::random())),
            usage: Arc::new(Mutex::new(UsageTable::new(
                replica.0.into(),
                rand::random(),
            ))),
            report_count: watch::Sender::new(0),
        })
    }

    /// Locks the fleet view.
    pub(crate) fn fleet(&self) -> MutexGuard<'_, Fleet> {
        // A panic while the lock is held leaves the view consistent, so poisoning is ignored.
        self.fleet.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The fleet view, for use on another thread.
    pub(crate) fn shared_fleet(&self) -> Arc<Mutex<Fleet>> {
        Arc::clone(&self.fleet)
    }

    /// Locks the usage of the workspaces' allowances.
    pub(crate) fn usage(&self) -> MutexGuard<'_, UsageTable> {
        self.usage.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The usage of the workspaces' allowances, for use on another thread.
    pub(crate) fn shared_usage(&self) -> Arc<Mutex<UsageTable>> {
        Arc::clone(&self.usage)
    }

    /// Stores an endpoint list that this replica read from the platform.
    pub(crate) fn update_endpoint_list(&self, list: EndpointList) {
        let mut fleet = self.fleet();
        let known = fleet.endpoint_list().map(|l| l.digest);
        fleet.set_endpoint_list(list);
        if let Some(list) = fleet.endpoint_list().filter(|l| known != Some(l.digest)) {
            event!(Info, "endpoint_list_changed", "endpoints" => list.endpoints.len(),
                "digest" => format!("{:016x}", list.digest));
        }
    }

    /// Merges the fleet view of another replica. `asked_at` is a time before the request was sent.
    pub(crate) fn merge_view(
        &self,
        now: Duration,
        asked_at: Duration,
        peer: PeerKey,
        reply: ExchangeReply,
    ) {
        self.fleet().merge(now, asked_at, peer, reply);
    }

    /// Time since the state was last confirmed as current; `None` if it never was.
    pub(crate) fn confirmed_age(&self, now: Duration) -> Option<Duration> {
        self.confirmed_at.get().map(|at| now.saturating_sub(at))
    }

    /// Whether callers should use another replica, because this one is out of service or its state was
    /// not confirmed recently.
    pub(crate) fn cut_off(&self, now: Duration) -> bool {
        self.out_of_service.get() || self.confirmed_age(now).is_none_or(|age| age > CUT_OFF_AGE)
    }

    /// Records a watch request of an entry.
    pub(crate) fn record_entry_watch(
        &self,
        report: EntryReport,
        known_version: u64,
        now: Duration,
    ) {
        let mut entry_watches = self.entry_watches.borrow_mut();
        entry_watches.insert(report.entry, (known_version, now));
    }

    /// Incarnation of the entry process that runs on the named VM.
    pub(crate) fn incarnation(&self, vm: &str) -> Option<u64> {
        let state = self.state.borrow();
        let entry = state.config().topology.entry_by_name(vm)?;
        match state.config().entry_status[entry.index()] {
            EntryStatus::Active { incarnation } | EntryStatus::Leaving { incarnation } => {
                Some(incarnation)
            }
            EntryStatus::Absent | EntryStatus::Fenced => None,
        }
    }

    /// Notifies the watches if the version of the configuration has changed.
    pub(crate) fn publish_version(&self) {
        let version = self.state.borrow().config().version;
        self.version.send_if_modified(|v| {
            let changed = v.0 != version;
            v.0 = version;
            changed
        });
    }

    /// Refuses all further work and completes all open watches.
    pub(crate) fn take_out_of_service(&self) {
        self.out_of_service.set(true);
        self.version.send_modify(|v| v.1 += 1);
    }
}
