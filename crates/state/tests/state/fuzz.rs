use crate::oracle::{Oracle, incarnation_of};
use crate::support::*;
use mangospindle_model::{EndpointId, EntryId, RegionId, ServiceId};
use mangospindle_state::{Command, CommandKind, Outcome, State};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestError, TestRng, TestRunner};
use std::time::Instant;

/// One operation of a run. Numbers select one of its few entries, endpoints, keys and attempts.
/// Commands with a version use the current version or, if stale, the one before it.
#[derive(Clone, Debug)]
enum Op {
    Join(u16),
    Leave(u16, bool),
    Fence(u16, bool),
    Release(u32, bool),
    /// A delayed join or leave of some process.
    Delayed(u16, u64),
    Put(u8, bool),
    Delete(u8, bool),
    Assign(u8, bool),
    Limit(u32, bool),
    Drain(u32, bool),
    AddEndpoint(u16),
    /// A route table with workspaces that the number selects.
    PutWorkspaces(u8, bool),
    /// A first route table with number 0 and workspaces that the number selects.
    PutFirstWorkspaces(u8),
    /// A claim, completion, release or unknown outcome of an entry's attempt with a sequence
    /// number. An attempt always has the same key.
    ClaimAction(u8, u16, u64),
    /// Resends an earlier command.
    Resend(usize),
    AdvanceTime(u64),
    RestoreSnapshot,
}

fn op_strategy() -> impl Strategy<Value = Op> {
    let entry = || 0..4u16;
    let any_bool = any::<bool>;
    let stale = || prop::bool::weighted(0.3);
    prop_oneof![
        6 => entry().prop_map(Op::Join),
        2 => (entry(), stale()).prop_map(|(e, s)| Op::Leave(e, s)),
        2 => (entry(), any_bool()).prop_map(|(e, s)| Op::Fence(e, s)),
        8 => (0..6u32, stale()).prop_map(|(e, s)| Op::Release(e, s)),
        3 => (entry(), 0..40u64).prop_map(|(e, i)| Op::Delayed(e, i)),
        4 => (0..4u8, stale()).prop_map(|(n, s)| Op::Put(n, s)),
        2 => (0..4u8, stale()).prop_map(|(n, s)| Op::Delete(n, s)),
        2 => (0..4u8, stale()).prop_map(|(n, s)| Op::Assign(n, s)),
        1 => (0..200u32, stale()).prop_map(|(n, s)| Op::Limit(n, s)),
        1 => (0..6u32, any_bool()).prop_map(|(e, d)| Op::Drain(e, d)),
        1 => (0..3u16).prop_map(Op::AddEndpoint),
        3 => (0..WORKSPACE_TABLES, stale()).prop_map(|(n, s)| Op::PutWorkspaces(n, s)),
        1 => (0..WORKSPACE_TABLES).prop_map(Op::PutFirstWorkspaces),
        24 => (0..4u8, entry(), 0..20u64).prop_map(|(a, e, s)| Op::ClaimAction(a, e, s)),
        5 => any::<usize>().prop_map(Op::Resend),
        4 => prop_oneof![0..MAX_DEADLINE_MS, Just(3_600_000)].prop_map(Op::AdvanceTime),
        1 => Just(Op::AdvanceTime(25 * 3_600_000)),
        2 => Just(Op::RestoreSnapshot),
    ]
}

struct FuzzRun {
    replica: TestReplica,
    /// Applies the same commands and is never restored from a snapshot.
    reference: State,
    oracle: Oracle,
    proposed: Vec<(Command, Outcome, u64)>,
    last_incarnation: u64,
    steps: usize,
}

impl FuzzRun {
    fn new() -> Self {
        let mut replica = TestReplica::new();
        replica.state = State::new();
        replica.last_index = 0;
        let mut run = FuzzRun {
            replica,
            reference: State::new(),
            oracle: Oracle::default(),
            proposed: Vec::new(),
            last_incarnation: 0,
            steps: 0,
        };
        run.propose(bootstrap());
        run
    }

    fn propose(&mut self, kind: CommandKind) {
        let command = self
            .replica
            .new_command(&format!("r{}", self.proposed.len()), kind);
        let outcome = self.apply(&command);
        self.proposed.push((command, outcome, self.replica.now_ms));
    }

    fn apply(&mut self, command: &Command) -> Outcome {
        self.steps += 1;
        self.replica.last_index += 1;
        let (index, now_ms) = (self.replica.last_index, self.replica.now_ms);
        let outcome = self.replica.state.apply(index, command);
        assert_eq!(
            outcome,
            self.reference.apply(index, command),
            "the replica and the reference differ"
        );
        self.oracle
            .check(&self.replica.state, command, &outcome, now_ms);
        outcome
    }

    /// Incarnation of the process that joined last, or a number that never joined.
    fn current_incarnation(&self, entry: u16) -> u64 {
        let status = &self.replica.state.config().entry_status[usize::from(entry)];
        incarnation_of(status).unwrap_or(u64::MAX)
    }

    fn execute(&mut self, op: &Op) {
        let config = self.replica.state.config().clone();
        let name = |n: &u8| ["p", "q", "n", "m"][usize::from(*n)];
        let version = |n: &u8, stale: &bool| {
            let current = config.profiles.get(name(n)).map_or(0, |v| v.version);
            current.saturating_sub(u64::from(*stale))
        };
        let service = &config.topology.services[0];
        let kind = match op {
            Op::Join(entry) => {
                self.last_incarnation += 1;
                entry_join(*entry, self.last_incarnation)
            }
            Op::Leave(entry, stale) => entry_leave(
                *entry,
                self.current_incarnation(*entry)
                    .wrapping_sub(u64::from(*stale)),
            ),
            Op::Fence(entry, with_incarnation) => {
                let last_seen = with_incarnation.then(|| self.current_incarnation(*entry));
                fence_vm(ENTRY_NAMES[usize::from(*entry)], last_seen)
            }
            Op::Release(endpoint, stale) => match config.ownership.get(*endpoint as usize) {
                Some(o) => {
                    let owner = o.owner.unwrap_or(EntryId(0)).0;
                    release_endpoint(*endpoint, owner, o.epoch.wrapping_sub(u64::from(*stale)))
                }
                None => release_endpoint(*endpoint, 0, 1),
            },
            Op::Delayed(entry, incarnation) if incarnation % 2 == 0 => {
                entry_leave(*entry, *incarnation)
            }
            Op::Delayed(entry, incarnation) => entry_join(*entry, *incarnation),
            Op::Put(n, stale) => put_profile(name(n), 1, version(n, stale)),
            Op::Delete(n, stale) => delete_profile(name(n), version(n, stale)),
            Op::Assign(n, stale) => CommandKind::AssignProfile {
                service: ServiceId(0),
                profile: name(n).to_string(),
                base_profile: if *stale {
                    "x".to_string()
                } else {
                    service.profile.clone()
                },
            },
            Op::Limit(limit, stale) => CommandKind::SetRegionLimit {
                region: RegionId(0),
                max_in_progress: *limit,
                base: config.topology.regions[0].max_in_progress + u32::from(*stale),
            },
            Op::Drain(endpoint, drain) => CommandKind::SetEndpointDrain {
                endpoint: EndpointId(*endpoint),
                drain: *drain,
            },
            Op::AddEndpoint(domain) => {
                let n = config.topology.endpoints.len() as u16;
                CommandKind::AddEndpoint {
                    endpoint: endpoint(&format!("e{n}"), *domain, 3000 + n),
                }
            }
            Op::PutWorkspaces(n, stale) => {
                let number = config.routes.number + u64::from(!*stale);
                put_workspaces(number, workspace_table(*n))
            }
            Op::PutFirstWorkspaces(n) => CommandKind::PutFirstRoutes {
                table: Box::default(),
                workspaces: Box::new(workspace_table(*n)),
                document: "document 0".to_string(),
            },
            Op::ClaimAction(action, entry, sequence) => {
                let k = (*sequence % 5) as u8;
                let key = claim_key(&format!("k{k}"));
                let attempt = attempt(*entry, self.current_incarnation(*entry), *sequence);
                match action {
                    0 | 1 => claim(&key, k, attempt),
                    2 => end_claim("give-up", &key, attempt, 2),
                    _ if sequence % 3 == 0 => end_claim("unknown", &key, attempt, 2),
                    _ => end_claim("complete", &key, attempt, 2),
                }
            }
            Op::Resend(i) => {
                let (mut command, first, proposed_ms) =
                    self.proposed[i % self.proposed.len()].clone();
                command.leader_time_ms = self.replica.now_ms;
                let outcome = self.apply(&command);
                let deduplicated = matches!(
                    command.kind,
                    CommandKind::PutProfile { .. }
                        | CommandKind::DeleteProfile { .. }
                        | CommandKind::AssignProfile { .. }
                        | CommandKind::SetRegionLimit { .. }
                        | CommandKind::SetEndpointDrain { .. }
                        | CommandKind::AddEndpoint { .. }
                        | CommandKind::FenceVm { .. }
                );
                if deduplicated && self.replica.now_ms < proposed_ms + 24 * 3_600_000 {
                    assert_eq!(outcome, first, "a resend received another outcome");
                }
                return;
            }
            Op::AdvanceTime(duration_ms) => {
                let mut remaining_ms = *duration_ms;
                while remaining_ms > 0 {
                    let step_ms = remaining_ms.min(120_000);
                    remaining_ms -= step_ms;
                    self.replica.now_ms += step_ms;
                    let expire = self.replica.new_command("expire", CommandKind::Expire);
                    self.apply(&expire);
                }
                return;
            }
            Op::RestoreSnapshot => {
                assert_eq!(self.replica.state.encode(), self.reference.encode());
                self.replica.restore_from_snapshot();
                return;
            }
        };
        self.propose(kind);
    }
}

/// Guards against violations of the guarantees that the oracle checks, after random sequences of
/// conflicting operator changes, resends, joins, leaves, fences, claims, waits and restores.
/// `STATE_FUZZ_CASES` and `STATE_FUZZ_SEED` set the number of cases and the seed, for example for a
/// longer run.
#[test]
fn random_commands_preserve_the_guarantees() {
    let env_number = |name: &str, default: u32| {
        let set = std::env::var(name).ok();
        set.map_or(default, |v| v.parse().expect("a number"))
    };
    let (cases, seed) = (
        env_number("STATE_FUZZ_CASES", 60),
        env_number("STATE_FUZZ_SEED", 1),
    );
    let config = Config {
        cases,
        max_shrink_iters: 4_000,
        failure_persistence: None,
        ..Config::default()
    };
    let mut bytes = [0; 32];
    bytes[..4].copy_from_slice(&seed.to_le_bytes());
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &bytes);
    let totals = std::cell::RefCell::new((0, 0));
    let start = Instant::now();
    let ops = prop::collection::vec(op_strategy(), 100..400);
    let result = TestRunner::new_with_rng(config, rng).run(&ops, |ops| {
        let mut run = FuzzRun::new();
        // Half of the runs start with all entries active.
        let joins = (0..4).take(4 * (ops.len() % 2)).map(Op::Join);
        joins.chain(ops).for_each(|op| run.execute(&op));
        assert_eq!(run.replica.state.encode(), run.reference.encode());
        let mut totals = totals.borrow_mut();
        *totals = (totals.0 + run.steps, totals.1 + run.oracle.grants);
        Ok(())
    });
    let (steps, grants) = *totals.borrow();
    let time = start.elapsed();
    println!("seed {seed}: {cases} cases, {steps} steps, {grants} grants in {time:?}");
    match result {
        Ok(()) => assert!(grants > cases as usize, "the run granted too few claims"),
        Err(TestError::Fail(why, ops)) => panic!("{why}\n{ops:#?}"),
        Err(TestError::Abort(why)) => panic!("{why}"),
    }
}
