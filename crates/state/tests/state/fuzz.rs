use crate::oracle::{Oracle, process};
use crate::support::*;
use mangospindle_model::{EndpointId, EntryId, RegionId, ServiceId};
use mangospindle_state::{Command, CommandKind, Outcome, State};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestError, TestRng, TestRunner};
use std::time::Instant;

/// One step. Numbers select among the few entries, endpoints, keys and attempts of a run; commands
/// that name a version use the present one or, if `stale`, one before it.
#[derive(Clone, Debug)]
enum Op {
    Join(u16),
    Leave(u16, bool),
    Fence(u16, bool),
    Release(u32, bool),
    /// A join, leave or release that a process sent long ago.
    Late(u16, u64),
    Put(u8, bool),
    Delete(u8, bool),
    Assign(u8, bool),
    Limit(u32, bool),
    Drain(u32, bool),
    AddEndpoint(u16),
    /// Claim, completion, release or unknown outcome, of an entry's attempt with a sequence number.
    /// An attempt is made for one key only.
    Act(u8, u16, u64),
    /// Resends an earlier command.
    Resend(usize),
    Wait(u64),
    Restart,
}

fn op() -> impl Strategy<Value = Op> {
    let entry = || 0..4u16;
    let any_bool = any::<bool>;
    let stale = || prop::bool::weighted(0.3);
    prop_oneof![
        6 => entry().prop_map(Op::Join),
        2 => (entry(), stale()).prop_map(|(e, s)| Op::Leave(e, s)),
        2 => (entry(), any_bool()).prop_map(|(e, s)| Op::Fence(e, s)),
        8 => (0..6u32, stale()).prop_map(|(e, s)| Op::Release(e, s)),
        3 => (entry(), 0..40u64).prop_map(|(e, i)| Op::Late(e, i)),
        4 => (0..4u8, stale()).prop_map(|(n, s)| Op::Put(n, s)),
        2 => (0..4u8, stale()).prop_map(|(n, s)| Op::Delete(n, s)),
        2 => (0..4u8, stale()).prop_map(|(n, s)| Op::Assign(n, s)),
        1 => (0..200u32, stale()).prop_map(|(n, s)| Op::Limit(n, s)),
        1 => (0..6u32, any_bool()).prop_map(|(e, d)| Op::Drain(e, d)),
        1 => (0..3u16).prop_map(Op::AddEndpoint),
        24 => (0..4u8, entry(), 0..20u64).prop_map(|(a, e, s)| Op::Act(a, e, s)),
        5 => any::<usize>().prop_map(Op::Resend),
        4 => prop_oneof![0..MAX_DEADLINE_MS, Just(3_600_000)].prop_map(Op::Wait),
        1 => Just(Op::Wait(25 * 3_600_000)),
        2 => Just(Op::Restart),
    ]
}

struct Run {
    replica: Replica,
    /// Gets the same commands and is never restarted.
    twin: State,
    oracle: Oracle,
    sent: Vec<(Command, Outcome, u64)>,
    joined: u64,
    steps: usize,
}

impl Run {
    fn new() -> Self {
        let mut replica = Replica::new();
        replica.state = State::new();
        replica.index = 0;
        let mut run = Run {
            replica,
            twin: State::new(),
            oracle: Oracle::default(),
            sent: Vec::new(),
            joined: 0,
            steps: 0,
        };
        run.send(bootstrap());
        run
    }

    fn send(&mut self, kind: CommandKind) {
        let command = self.replica.command(&format!("r{}", self.sent.len()), kind);
        let outcome = self.apply(&command);
        self.sent.push((command, outcome, self.replica.now_ms));
    }

    fn apply(&mut self, command: &Command) -> Outcome {
        self.steps += 1;
        self.replica.index += 1;
        let (index, now_ms) = (self.replica.index, self.replica.now_ms);
        let outcome = self.replica.state.apply(index, command);
        assert_eq!(outcome, self.twin.apply(index, command), "replicas differ");
        self.oracle
            .check(&self.replica.state, command, &outcome, now_ms);
        outcome
    }

    /// The process of an entry that joined last, or a number that never joined.
    fn process(&self, entry: u16) -> u64 {
        let status = &self.replica.state.config().entry_status[usize::from(entry)];
        process(status).unwrap_or(u64::MAX)
    }

    fn step(&mut self, op: &Op) {
        let config = self.replica.state.config().clone();
        let name = |n: &u8| ["p", "q", "n", "m"][usize::from(*n)];
        let version = |n: &u8, stale: &bool| {
            let present = config.profiles.get(name(n)).map_or(0, |v| v.version);
            present.saturating_sub(u64::from(*stale))
        };
        let service = &config.topology.services[0];
        let kind = match op {
            Op::Join(entry) => {
                self.joined += 1;
                join(*entry, self.joined)
            }
            Op::Leave(entry, stale) => {
                leave(*entry, self.process(*entry).wrapping_sub(u64::from(*stale)))
            }
            Op::Fence(entry, named) => {
                let seen = named.then(|| self.process(*entry));
                fence(ENTRY_NAMES[usize::from(*entry)], seen)
            }
            Op::Release(endpoint, stale) => match config.ownership.get(*endpoint as usize) {
                Some(o) => {
                    let owner = o.owner.unwrap_or(EntryId(0)).0;
                    release(*endpoint, owner, o.epoch.wrapping_sub(u64::from(*stale)))
                }
                None => release(*endpoint, 0, 1),
            },
            Op::Late(entry, incarnation) if incarnation % 2 == 0 => leave(*entry, *incarnation),
            Op::Late(entry, incarnation) => join(*entry, *incarnation),
            Op::Put(n, stale) => put(name(n), 1, version(n, stale)),
            Op::Delete(n, stale) => delete(name(n), version(n, stale)),
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
            Op::Act(action, entry, sequence) => {
                let k = (*sequence % 5) as u8;
                let key = key(&format!("k{k}"));
                let attempt = attempt(*entry, self.process(*entry), *sequence);
                match action {
                    0 | 1 => claim(&key, k, attempt),
                    2 => end_claim("give-up", &key, attempt, 2),
                    _ if sequence % 3 == 0 => end_claim("unknown", &key, attempt, 2),
                    _ => end_claim("complete", &key, attempt, 2),
                }
            }
            Op::Resend(i) => {
                let (mut command, first, sent_ms) = self.sent[i % self.sent.len()].clone();
                command.leader_time_ms = self.replica.now_ms;
                let outcome = self.apply(&command);
                let remembered = matches!(
                    command.kind,
                    CommandKind::PutProfile { .. }
                        | CommandKind::DeleteProfile { .. }
                        | CommandKind::AssignProfile { .. }
                        | CommandKind::SetRegionLimit { .. }
                        | CommandKind::SetEndpointDrain { .. }
                        | CommandKind::AddEndpoint { .. }
                        | CommandKind::FenceVm { .. }
                );
                if remembered && self.replica.now_ms < sent_ms + 24 * 3_600_000 {
                    assert_eq!(outcome, first, "a resend got another outcome");
                }
                return;
            }
            Op::Wait(ms) => {
                let mut left = *ms;
                while left > 0 {
                    let step = left.min(120_000);
                    left -= step;
                    self.replica.now_ms += step;
                    let expire = self.replica.command("expire", CommandKind::Expire);
                    self.apply(&expire);
                }
                return;
            }
            Op::Restart => {
                assert_eq!(self.replica.state.encode(), self.twin.encode());
                self.replica.restart();
                return;
            }
        };
        self.send(kind);
    }
}

/// Guards against every breach of the guarantees that the oracle checks, after any mix of
/// operators' races, resends, joins, leaves, fences, claims, waits and restarts. `STATE_FUZZ_CASES`
/// and `STATE_FUZZ_SEED` give a longer run.
#[test]
fn any_order_of_commands() {
    let number = |name: &str, default: u32| {
        let set = std::env::var(name).ok();
        set.map_or(default, |v| v.parse().expect("a number"))
    };
    let (cases, seed) = (number("STATE_FUZZ_CASES", 60), number("STATE_FUZZ_SEED", 1));
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
    let ops = prop::collection::vec(op(), 100..400);
    let result = TestRunner::new_with_rng(config, rng).run(&ops, |ops| {
        let mut run = Run::new();
        // Half of the runs start with all entries in service.
        let joins = (0..4).take(4 * (ops.len() % 2)).map(Op::Join);
        joins.chain(ops).for_each(|op| run.step(&op));
        assert_eq!(run.replica.state.encode(), run.twin.encode());
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
