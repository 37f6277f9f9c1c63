use futures::future::LocalBoxFuture;
use mangospindle_control::admin::{
    AdminBackend, EndpointProgress, EntryReport, ReplicaReport, ReplicaRole, StatusReport,
};
use mangospindle_http::Problem;
use mangospindle_model::{
    Endpoint, Entry, EntryId, ErrorKind, FailureDomain, FailureDomainId, Hedging, Profile, Region,
    RegionId, RequestClass, Service, ServiceId, Topology, Weights,
};
use mangospindle_state::{
    Actor, Attempt, AuditPage, ClaimKey, ClaimOutcome, Command, CommandKind, Config, Outcome,
    RecordedAnswer, RequestId, State,
};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// A backend on a bare state machine, in the place of a control replica.
#[derive(Default)]
pub struct StateBackend {
    inner: Mutex<(State, u64)>,
    /// Answers that are lost after their command was applied.
    pub answers_to_lose: Mutex<u32>,
}

impl StateBackend {
    pub fn new() -> Self {
        let backend = StateBackend::default();
        backend.apply_kind(CommandKind::Bootstrap {
            topology: topology(),
            profiles: vec![profile("calm")],
        });
        backend.apply_kind(CommandKind::EntryJoin {
            entry: EntryId(0),
            incarnation: 0xab,
        });
        let key = ClaimKey {
            service: ServiceId(0),
            key: "k/1%".to_string(),
        };
        let attempt = Attempt {
            entry: EntryId(0),
            incarnation: 0xab,
            sequence: 1,
        };
        backend.apply_kind(CommandKind::Claim {
            key: key.clone(),
            digest: [1; 32],
            attempt,
        });
        let answer = RecordedAnswer {
            status: 201,
            content_type: None,
            body: Some(vec![7; 5]),
        };
        backend.apply_kind(CommandKind::CompleteClaim {
            key,
            attempt,
            answer,
        });
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
        let mut inner = self.inner.lock().unwrap();
        inner.1 += 1;
        let index = inner.1;
        inner.0.apply(index, &command)
    }

    fn read<R>(&self, read: impl FnOnce(&State) -> R) -> LocalBoxFuture<'static, Result<R, Problem>>
    where
        R: 'static,
    {
        let result = read(&self.inner.lock().unwrap().0);
        Box::pin(async { Ok(result) })
    }
}

impl AdminBackend for StateBackend {
    fn propose(&self, command: Command) -> LocalBoxFuture<'static, Result<Outcome, Problem>> {
        let outcome = self.apply(command);
        let mut lost = self.answers_to_lose.lock().unwrap();
        let result = match *lost {
            0 => Ok(outcome),
            _ => Err(Problem::from(ErrorKind::OutcomeUnknown)),
        };
        *lost = lost.saturating_sub(1);
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
                last_heard: None,
            }],
            entries: vec![EntryReport {
                name: "e0".to_string(),
                applied_version: Some(2),
                last_heard: Some(Duration::from_millis(10)),
            }],
            drains: vec![EndpointProgress {
                name: "x0".to_string(),
                in_progress: Some(2),
                drain_time: None,
            }],
        })
    }

    fn claim(&self, key: ClaimKey) -> LocalBoxFuture<'static, Result<ClaimOutcome, Problem>> {
        self.read(|state| state.claim(&key))
    }

    fn metrics(&self) -> String {
        "mangospindle_up 1\n".to_string()
    }
}

pub fn profile(name: &str) -> Profile {
    Profile {
        name: name.to_string(),
        weights: Weights {
            latency: 1.0,
            headroom: 0.5,
            drain: 0.0,
        },
        cross_region_limit: 10,
        pace_start: 0.1,
        pace_growth: 1.5,
        retry_budget: 0.1,
        hedging: Hedging::After {
            delay: Duration::from_millis(50),
        },
        queue_timeout: Duration::from_millis(100),
        shed_order: RequestClass::ALL.to_vec(),
    }
}

fn topology() -> Topology {
    let failure_domain = FailureDomainId(0);
    let address = |port: u16| ([127, 0, 0, 1], port).into();
    Topology {
        regions: vec![Region {
            name: "r0".to_string(),
            max_in_progress: 100,
        }],
        failure_domains: vec![FailureDomain {
            name: "d0".to_string(),
            region: RegionId(0),
        }],
        entries: vec![Entry {
            name: "e0".to_string(),
            failure_domain,
            public_address: address(1),
            internal_address: address(2),
        }],
        services: vec![Service {
            name: "s".to_string(),
            write_class: RequestClass::AtMostOnce,
            max_deadline: Duration::from_secs(30),
            profile: "calm".to_string(),
        }],
        endpoints: vec![Endpoint {
            name: "x0".to_string(),
            service: ServiceId(0),
            failure_domain,
            address: address(3),
            slots: 3,
            max_connections: 330,
        }],
        ..Topology::default()
    }
}
