use crate::support::{attempt, bootstrap, claim, claim_key, end_claim, entry_join};
use futures::future::LocalBoxFuture;
use mangospindle_allowance::WorkspaceUsage;
use mangospindle_control::OrderOrigin;
use mangospindle_control::admin::{
    AdminBackend, DrainReport, EntryReport, ReplicaReport, ReplicaRole, StatusReport,
};
use mangospindle_http::Problem;
use mangospindle_model::{Allowance, ErrorKind, KeyDigest, RouteTable, Workspace, WorkspaceTable};
use mangospindle_state::{
    Actor, AuditPage, ClaimKey, ClaimOutcome, Command, CommandKind, Config, Outcome, RequestId,
    State,
};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// An [`AdminBackend`] on a state machine, without a control replica.
#[derive(Default)]
pub struct StateBackend {
    state_and_index: Mutex<(State, u64)>,
    /// Number of responses to drop after their commands were applied.
    pub responses_to_drop: Mutex<u32>,
    usage: Vec<WorkspaceUsage>,
}

/// Keys of the workspaces in [`StateBackend::with_workspaces`]. No output may contain one.
#[allow(dead_code, reason = "not every test uses workspaces")]
pub const WORKSPACE_KEYS: [&str; 3] = ["u27g-first-key", "jqur-second-key", "p0sk-third-key"];

impl StateBackend {
    /// Creates a state in which entry a0 has joined as process 0xab and owns x0 and x1, and the
    /// action with the key `k/1%` of service s is completed.
    pub fn new() -> Self {
        let backend = StateBackend::default();
        let (key, attempt) = (claim_key("k/1%"), attempt(0, 0xab, 1));
        let kinds = [
            bootstrap(),
            entry_join(0, 0xab),
            claim(&key, 1, attempt),
            end_claim("complete", &key, attempt, 5),
        ];
        kinds.into_iter().for_each(|kind| backend.apply_kind(kind));
        backend
    }

    /// Creates the same state with workspaces `yefi` (two keys, an allowance, a home region), `a/b%`
    /// (no key, an allowance that this replica has not applied yet) and `open` (one key, no limit).
    #[allow(dead_code, reason = "not every test uses workspaces")]
    pub fn with_workspaces() -> Self {
        let mut backend = StateBackend::new();
        let allowance = Allowance {
            rate: 467.5,
            burst: 400.0,
        };
        let digests = WORKSPACE_KEYS.map(|key| KeyDigest::of(key.as_bytes()));
        let yefi = Workspace {
            keys: [digests[0], digests[1]].into(),
            priority: 1,
            allowance: Some(allowance),
            home_regions: vec!["r0".to_string(), "r1".to_string()],
        };
        let waiting = Workspace {
            allowance: Some(allowance),
            ..Workspace::default()
        };
        let open = Workspace {
            keys: [digests[2]].into(),
            ..Workspace::default()
        };
        let workspaces = [("yefi", yefi), ("a/b%", waiting), ("open", open)];
        let workspaces = workspaces.map(|(name, w)| (name.to_string(), w));
        backend.apply_kind(CommandKind::PutRoutesAndWorkspaces {
            table: Box::new(RouteTable {
                number: 7,
                ..RouteTable::default()
            }),
            workspaces: Box::new(WorkspaceTable {
                workspaces: workspaces.into(),
                ..WorkspaceTable::default()
            }),
            document: WORKSPACE_KEYS.join(","),
        });
        backend.usage = vec![WorkspaceUsage {
            workspace: "yefi".to_string(),
            allowance,
            offered_rate: 512.25,
            level: Some(-3.5),
            rejected: 42,
        }];
        backend
    }

    fn apply_kind(&self, kind: CommandKind) {
        self.apply(Command {
            request: RequestId(String::new()),
            actor: Actor::Process("test".to_string()),
            leader_time_ms: 1,
            kind,
        });
    }

    fn apply(&self, command: Command) -> Outcome {
        let mut state_and_index = self.state_and_index.lock().unwrap();
        state_and_index.1 += 1;
        let index = state_and_index.1;
        state_and_index.0.apply(index, &command)
    }

    fn read<R>(&self, read: impl FnOnce(&State) -> R) -> LocalBoxFuture<'static, Result<R, Problem>>
    where
        R: 'static,
    {
        let result = read(&self.state_and_index.lock().unwrap().0);
        Box::pin(async { Ok(result) })
    }
}

impl AdminBackend for StateBackend {
    fn applied_index(&self) -> u64 {
        self.state_and_index.lock().unwrap().1
    }

    fn propose(
        &self,
        command: Command,
        _: OrderOrigin,
    ) -> LocalBoxFuture<'static, Result<Outcome, Problem>> {
        let outcome = self.apply(command);
        let mut remaining = self.responses_to_drop.lock().unwrap();
        let result = match *remaining {
            0 => Ok(outcome),
            _ => Err(Problem::from(ErrorKind::OutcomeUnknown)),
        };
        *remaining = remaining.saturating_sub(1);
        Box::pin(async { result })
    }

    fn config(&self) -> LocalBoxFuture<'static, Result<Arc<Config>, Problem>> {
        self.read(|state| Arc::new(state.config().clone()))
    }

    fn audit(
        &self,
        after: u64,
        limit: usize,
    ) -> LocalBoxFuture<'static, Result<AuditPage, Problem>> {
        self.read(|state| state.audit(after, limit))
    }

    fn status(&self) -> LocalBoxFuture<'static, Result<StatusReport, Problem>> {
        self.read(|state| StatusReport {
            replica: "c1".to_string(),
            ready: false,
            leader: None,
            term: 3,
            commit_index: state.applied_index(),
            applied_index: state.applied_index(),
            version: state.config().version,
            confirmation_age: Some(Duration::from_millis(40)),
            replicas: vec![ReplicaReport {
                name: "c1".to_string(),
                role: ReplicaRole::Follower,
                match_index: None,
                last_contact: None,
            }],
            entries: vec![EntryReport {
                name: "a0".to_string(),
                applied_version: Some(2),
                last_contact: Some(Duration::from_millis(10)),
            }],
            drains: vec![DrainReport {
                owner: None,
                name: "x0".to_string(),
                in_progress: Some(2),
                drain_time: None,
            }],
        })
    }

    fn claim(&self, key: ClaimKey) -> LocalBoxFuture<'static, Result<ClaimOutcome, Problem>> {
        self.read(|state| state.lookup_claim(&key))
    }

    fn workspace_usage(&self) -> Vec<WorkspaceUsage> {
        self.usage.clone()
    }

    fn metrics(&self) -> String {
        "mangospindle_up 1\n".to_string()
    }
}
