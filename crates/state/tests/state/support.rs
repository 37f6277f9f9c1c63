use mangospindle_model::{
    Allowance, Endpoint, EndpointId, Entry, EntryId, FailureDomain, FailureDomainId, Hedging,
    KeyDigest, Profile, Region, RegionId, RequestClass, RouteKey, RouteTable, Service, ServiceId,
    Topology, Weights, Workspace, WorkspaceTable,
};
use mangospindle_state::{
    Actor, Attempt, ClaimKey, Command, CommandKind, Outcome, RecordedResponse, RequestId, State,
};
use std::time::Duration;

pub const MAX_DEADLINE_MS: u64 = 30_000;
pub const ENTRY_NAMES: [&str; 4] = ["a0", "a1", "b0", "c0"];
pub const ENTRY_DOMAINS: [u16; 4] = [0, 0, 1, 2];

pub fn profile(name: &str, limit: u32) -> Profile {
    Profile {
        name: name.to_string(),
        weights: Weights {
            latency: 1.0,
            headroom: 0.5,
            drain: 0.0,
        },
        cross_region_limit: limit,
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

pub fn entry(name: &str, domain: u16, port: u16) -> Entry {
    Entry {
        name: name.to_string(),
        failure_domain: FailureDomainId(domain),
        public_address: ([127, 0, 0, 1], port).into(),
        internal_address: ([127, 0, 0, 1], port + 1).into(),
    }
}

pub fn endpoint(name: &str, domain: u16, port: u16) -> Endpoint {
    Endpoint {
        name: name.to_string(),
        service: ServiceId(0),
        failure_domain: FailureDomainId(domain),
        address: ([127, 0, 0, 1], port).into(),
        slots: 3,
        max_connections: 330,
    }
}

/// Region r0 with failure domains 0 (a0, a1) and 1 (b0); region r1 with failure domain 2 (c0).
/// Endpoints 0 to 3 are in failure domains 0, 0, 1 and 2.
pub fn topology() -> Topology {
    let region = |name: &str| Region {
        name: name.to_string(),
        max_in_progress: 100,
    };
    let domain = |name: &str, region| FailureDomain {
        name: name.to_string(),
        region: RegionId(region),
    };
    Topology {
        regions: vec![region("r0"), region("r1")],
        failure_domains: vec![domain("d0", 0), domain("d1", 0), domain("d2", 1)],
        entries: (ENTRY_NAMES.iter().zip(ENTRY_DOMAINS).enumerate())
            .map(|(i, (name, domain))| entry(name, domain, 1000 + 2 * i as u16))
            .collect(),
        services: vec![Service {
            name: "s".to_string(),
            write_class: RequestClass::AtMostOnce,
            max_deadline: Duration::from_millis(MAX_DEADLINE_MS),
            profile: "p".to_string(),
        }],
        endpoints: ([("x0", 0), ("x1", 0), ("y0", 1), ("z0", 2)]
            .iter()
            .enumerate())
        .map(|(i, (name, domain))| endpoint(name, *domain, 2000 + i as u16))
        .collect(),
        ..Topology::default()
    }
}

pub fn bootstrap() -> CommandKind {
    CommandKind::Bootstrap {
        topology: topology(),
        profiles: vec![profile("p", 10), profile("q", 20)],
    }
}

pub fn entry_join(entry: u16, incarnation: u64) -> CommandKind {
    CommandKind::EntryJoin {
        entry: EntryId(entry),
        incarnation,
    }
}

pub fn entry_leave(entry: u16, incarnation: u64) -> CommandKind {
    CommandKind::EntryLeave {
        entry: EntryId(entry),
        incarnation,
    }
}

pub fn fence_vm(name: &str, incarnation: Option<u64>) -> CommandKind {
    CommandKind::FenceVm {
        name: name.to_string(),
        incarnation,
    }
}

pub fn release_endpoint(endpoint: u32, entry: u16, epoch: u64) -> CommandKind {
    CommandKind::ReleaseEndpoint {
        endpoint: EndpointId(endpoint),
        entry: EntryId(entry),
        epoch,
    }
}

pub fn put_profile(name: &str, limit: u32, base_version: u64) -> CommandKind {
    CommandKind::PutProfile {
        profile: profile(name, limit),
        base_version,
    }
}

pub fn delete_profile(name: &str, base_version: u64) -> CommandKind {
    CommandKind::DeleteProfile {
        name: name.to_string(),
        base_version,
    }
}

pub fn claim_key(name: &str) -> ClaimKey {
    ClaimKey {
        service: ServiceId(0),
        key: name.to_string(),
    }
}

pub fn attempt(entry: u16, incarnation: u64, sequence: u64) -> Attempt {
    Attempt {
        entry: EntryId(entry),
        incarnation,
        sequence,
    }
}

pub fn response(body: usize) -> RecordedResponse {
    RecordedResponse {
        status: 201,
        content_type: Some("application/json".to_string()),
        body: Some(vec![7; body]),
    }
}

pub fn claim(key: &ClaimKey, digest: u8, attempt: Attempt) -> CommandKind {
    CommandKind::Claim {
        key: key.clone(),
        digest: [digest; 32],
        attempt,
    }
}

/// Ends a claim. The action is `complete` (with a body of `body` bytes), `give-up` or `unknown`.
pub fn end_claim(action: &str, key: &ClaimKey, attempt: Attempt, body: usize) -> CommandKind {
    let (key, response) = (key.clone(), response(body));
    match action {
        "complete" => CommandKind::CompleteClaim {
            key,
            attempt,
            response,
        },
        "give-up" => CommandKind::ReleaseClaim { key, attempt },
        "unknown" => CommandKind::MarkClaimUnknown { key, attempt },
        _ => panic!("unknown action `{action}`"),
    }
}

/// Number of tables that [`workspace_table`] returns.
pub const WORKSPACE_TABLES: u8 = 5;

/// Returns one of a few tables of workspaces. The first is empty and the last is not valid, because two
/// workspaces share a key.
pub fn workspace_table(number: u8) -> WorkspaceTable {
    let workspace = |keys: &[&str], rate: Option<f64>| Workspace {
        keys: keys.iter().map(|k| KeyDigest::of(k.as_bytes())).collect(),
        allowance: rate.map(|rate| Allowance { rate, burst: 5.0 }),
        ..Workspace::default()
    };
    let rows = match number {
        0 => return WorkspaceTable::default(),
        1 => vec![("a", workspace(&["k1", "k2"], Some(10.0)))],
        2 => vec![
            ("a", workspace(&[], Some(3.0))),
            ("b", workspace(&["k1"], None)),
        ],
        3 => vec![("b", workspace(&["k3"], Some(0.5)))],
        _ => vec![
            ("a", workspace(&["k1"], None)),
            ("b", workspace(&["k1"], None)),
        ],
    };
    let public_route = |n: u8| RouteKey {
        host: "shop.example".to_string(),
        prefix: format!("/open-{n}/"),
    };
    WorkspaceTable {
        workspaces: (rows.into_iter())
            .map(|(name, w)| (name.to_string(), w))
            .collect(),
        public_routes: (1..number).map(public_route).collect(),
    }
}

/// Returns the command of the operators' part that puts a route table with these workspaces.
pub fn put_workspaces(number: u64, workspaces: WorkspaceTable) -> CommandKind {
    let table = Box::new(RouteTable {
        number,
        ..RouteTable::default()
    });
    let document = format!("document {number}");
    match workspaces.is_empty() {
        true => CommandKind::PutRoutes { table, document },
        false => CommandKind::PutRoutesAndWorkspaces {
            table,
            workspaces: Box::new(workspaces),
            document,
        },
    }
}

/// A state with the index of its last command and the wall clock of its leader.
pub struct TestReplica {
    pub state: State,
    pub last_index: u64,
    pub now_ms: u64,
}

impl TestReplica {
    pub fn new() -> Self {
        let mut replica = TestReplica {
            state: State::new(),
            last_index: 0,
            now_ms: 1_700_000_000_000,
        };
        replica.propose("boot", bootstrap());
        replica
    }

    pub fn new_command(&self, request: &str, kind: CommandKind) -> Command {
        Command {
            request: RequestId(request.to_string()),
            actor: Actor::Operator("ana".to_string()),
            leader_time_ms: self.now_ms,
            kind,
        }
    }

    pub fn propose(&mut self, request: &str, kind: CommandKind) -> Outcome {
        self.last_index += 1;
        let command = self.new_command(request, kind);
        self.state.apply(self.last_index, &command)
    }

    /// Advances the time like a running control process, with an `Expire` every two minutes.
    pub fn advance_time(&mut self, mut duration_ms: u64) {
        while duration_ms > 0 {
            let step_ms = duration_ms.min(120_000);
            self.now_ms += step_ms;
            duration_ms -= step_ms;
            self.propose("expire", CommandKind::Expire);
        }
    }

    /// Replaces the state with one restored from its snapshot.
    pub fn restore_from_snapshot(&mut self) {
        let bytes = self.state.encode();
        self.state = State::decode(&bytes).expect("the snapshot of a state is valid");
        assert_eq!(
            self.state.encode(),
            bytes,
            "the restored state has another encoding"
        );
    }
}
