use mangospindle_consensus::{Member, ReplicaId, Role};
use mangospindle_fleet::{EndpointList, ExchangeReply, Fleet};
use mangospindle_model::EntryId;
use mangospindle_rpc::{CUT_OFF_AGE, EntryReport};
use mangospindle_state::{EntryStatus, State};
use mangospindle_telemetry::event;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::watch;

/// What the replica actor shows to the connections on its thread.
pub(crate) struct PublishedState {
    /// The replicated state as applied here.
    pub(crate) state: RefCell<State>,
    /// When the state was last known to be current, on this replica's clock.
    pub(crate) confirmed_at: Cell<Option<Duration>>,
    /// Role of the node.
    pub(crate) role: Cell<Role>,
    /// The leader, if known.
    pub(crate) leader: Cell<Option<Member>>,
    /// Whether the replica refuses all work: it is stopping, or its disk failed.
    pub(crate) withdrawn: Cell<bool>,
    /// Version of the configuration and a generation that is raised to wake all watches.
    pub(crate) version: watch::Sender<(u64, u64)>,
    /// Watches that are held open.
    pub(crate) watches: Cell<usize>,
    /// Version and time of the latest watch of each entry.
    pub(crate) entries: RefCell<BTreeMap<EntryId, (u64, Duration)>>,
    /// Replicas of the present membership.
    pub(crate) members: RefCell<Vec<ReplicaId>>,
    /// Entries and endpoints; also read by the threads that serve HTTP.
    fleet: Arc<Mutex<Fleet>>,
}

impl PublishedState {
    pub(crate) fn new(state: State) -> Rc<Self> {
        let version = state.config().version;
        Rc::new(PublishedState {
            state: RefCell::new(state),
            confirmed_at: Cell::new(None),
            role: Cell::new(Role::Learner),
            leader: Cell::new(None),
            withdrawn: Cell::new(false),
            version: watch::Sender::new((version, 0)),
            watches: Cell::new(0),
            entries: RefCell::default(),
            members: RefCell::default(),
            fleet: Arc::default(),
        })
    }

    /// Entries and endpoints.
    pub(crate) fn fleet(&self) -> MutexGuard<'_, Fleet> {
        // No code panics while it holds the lock with the view in a broken state.
        self.fleet.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The view of the fleet, for another thread.
    pub(crate) fn shared_fleet(&self) -> Arc<Mutex<Fleet>> {
        Arc::clone(&self.fleet)
    }

    /// Takes a list of endpoints that this replica read.
    pub(crate) fn set_endpoints(&self, list: EndpointList) {
        let mut fleet = self.fleet();
        let known = fleet.endpoint_list().map(|l| l.digest);
        if known != Some(list.digest) {
            event!(Info, "endpoint_list_changed", "endpoints" => list.endpoints.len(),
                "digest" => format!("{:016x}", list.digest));
        }
        fleet.set_endpoint_list(list);
    }

    /// Takes over the view of another replica.
    pub(crate) fn merge_view(&self, now: Duration, asked_at: Duration, reply: ExchangeReply) {
        self.fleet().merge(now, asked_at, reply);
    }

    /// How long ago the state was known to be current.
    pub(crate) fn confirmed_age(&self, now: Duration) -> Option<Duration> {
        self.confirmed_at.get().map(|at| now.saturating_sub(at))
    }

    /// Whether callers should use another replica.
    pub(crate) fn cut_off(&self, now: Duration) -> bool {
        self.withdrawn.get() || self.confirmed_age(now).is_none_or(|age| age > CUT_OFF_AGE)
    }

    /// Notes a watch of an entry.
    pub(crate) fn heard_entry(&self, report: EntryReport, known_version: u64, now: Duration) {
        let mut entries = self.entries.borrow_mut();
        entries.insert(report.entry, (known_version, now));
    }

    /// The process that runs on the VM of an entry, by the name of the VM.
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

    /// Tells the watches about the present version.
    pub(crate) fn publish_version(&self) {
        let version = self.state.borrow().config().version;
        self.version.send_if_modified(|v| {
            let changed = v.0 != version;
            v.0 = version;
            changed
        });
    }

    /// Refuses all work from now on and answers all watches.
    pub(crate) fn withdraw(&self) {
        self.withdrawn.set(true);
        self.version.send_modify(|v| v.1 += 1);
    }
}
