use crate::commands::{claim, key};
use crate::replicas::{LIMIT, Replicas};
use mangospindle_rpc::{ControlClient, ProposeResult, QueryResult};
use mangospindle_state::{ClaimOutcome, Outcome};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::{JoinHandle, spawn_local};

/// Time that one proposal may take.
const PROPOSAL_TIME: Duration = Duration::from_secs(4);

/// Tasks that claim one action after the other, and what became of each claim.
pub struct Proposers {
    stop: Rc<Cell<bool>>,
    results: Rc<RefCell<Vec<(u64, ProposeResult, Duration)>>>,
    tasks: Vec<JoinHandle<()>>,
}

/// What became of all claims.
pub struct Results {
    pub accepted: Vec<u64>,
    pub not_accepted: Vec<u64>,
    pub unknown: Vec<u64>,
    /// Longest time without any accepted claim.
    pub longest_gap: Duration,
}

impl Proposers {
    /// Starts tasks that share the clients, each with its own range of actions.
    pub fn start(replicas: &Replicas, clients: &[ControlClient], count: u64) -> Self {
        let stop = Rc::new(Cell::new(false));
        let results = Rc::new(RefCell::new(Vec::new()));
        let start = replicas.now();
        let tasks = (0..count)
            .map(|task| {
                let client = clients[task as usize % clients.len()].clone();
                let (stop, results) = (stop.clone(), results.clone());
                let clock = replicas.clock();
                spawn_local(async move {
                    let mut number = task * 1_000_000;
                    while !stop.get() {
                        number += 1;
                        let result = client.propose(&claim(number), PROPOSAL_TIME).await;
                        let at = clock.now().saturating_sub(start);
                        results.borrow_mut().push((number, result, at));
                    }
                })
            })
            .collect();
        Proposers {
            stop,
            results,
            tasks,
        }
    }

    /// Number of claims that were accepted so far.
    pub fn accepted(&self) -> usize {
        let results = self.results.borrow();
        let accepted = |r: &&(u64, ProposeResult, Duration)| is_granted(&r.1);
        results.iter().filter(accepted).count()
    }

    pub async fn finish(self) -> Results {
        self.stop.set(true);
        for task in self.tasks {
            task.await.unwrap();
        }
        let mut results = Results {
            accepted: Vec::new(),
            not_accepted: Vec::new(),
            unknown: Vec::new(),
            longest_gap: Duration::ZERO,
        };
        let mut last = Duration::ZERO;
        for (number, result, at) in self.results.borrow().iter() {
            match result {
                ProposeResult::NotAccepted => results.not_accepted.push(*number),
                ProposeResult::Unknown => results.unknown.push(*number),
                granted if is_granted(granted) => {
                    results.accepted.push(*number);
                    results.longest_gap = results.longest_gap.max(at.saturating_sub(last));
                    last = *at;
                }
                other => panic!("claim {number}: {other:?}"),
            }
        }
        results
    }
}

impl Results {
    /// Checks at one replica that accepted claims are known and refused ones are in no log.
    pub async fn check(&self, replicas: &Replicas, replica: u16) {
        let client = replicas.client(&[replica]);
        let questions: Vec<_> = (self.accepted.iter().map(|n| (*n, ClaimOutcome::InProgress)))
            .chain(
                self.not_accepted
                    .iter()
                    .map(|n| (*n, ClaimOutcome::NotFound)),
            )
            .collect();
        for chunk in questions.chunks(1000) {
            let ask = |(number, expected): &(u64, ClaimOutcome)| {
                let (client, number, expected) = (client.clone(), *number, expected.clone());
                async move {
                    let mut answer = QueryResult::Unconfirmed;
                    for _ in 0..60 {
                        if answer == QueryResult::Unconfirmed {
                            answer = client.query_claim(&key(number), LIMIT).await;
                        }
                    }
                    let expected = QueryResult::Answer(expected);
                    assert_eq!(answer, expected, "claim {number} at replica {replica}");
                }
            };
            futures::future::join_all(chunk.iter().map(ask)).await;
        }
    }
}

fn is_granted(result: &ProposeResult) -> bool {
    *result == ProposeResult::Outcome(Outcome::Claim(ClaimOutcome::Granted))
}
