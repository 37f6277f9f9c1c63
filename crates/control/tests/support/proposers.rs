use crate::commands::{claim, claim_key};
use crate::replica_cluster::{ReplicaCluster, WAIT_TIMEOUT};
use mangospindle_rpc::{ControlClient, ProposeResult, QueryResult};
use mangospindle_state::{ClaimOutcome, Outcome};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::{JoinHandle, spawn_local};

/// Timeout of one proposal.
const PROPOSAL_TIMEOUT: Duration = Duration::from_secs(4);

/// Tasks that each claim one action after another, and the results of the claims.
pub struct Proposers {
    stop: Rc<Cell<bool>>,
    results: Rc<RefCell<Vec<(u64, ProposeResult, Duration)>>>,
    tasks: Vec<JoinHandle<()>>,
}

/// Claims by result.
pub struct ClaimResults {
    pub accepted: Vec<u64>,
    pub not_accepted: Vec<u64>,
    pub unknown: Vec<u64>,
    /// Longest time without an accepted claim.
    pub longest_gap: Duration,
}

impl Proposers {
    /// Starts `count` tasks that share the clients. Each task claims its own range of actions.
    pub fn start(cluster: &ReplicaCluster, clients: &[ControlClient], count: u64) -> Self {
        let stop = Rc::new(Cell::new(false));
        let results = Rc::new(RefCell::new(Vec::new()));
        let start = cluster.now();
        let tasks = (0..count)
            .map(|task| {
                let client = clients[task as usize % clients.len()].clone();
                let (stop, results) = (stop.clone(), results.clone());
                let clock = cluster.clock();
                spawn_local(async move {
                    let mut number = task * 1_000_000;
                    while !stop.get() {
                        number += 1;
                        let result = client.propose(&claim(number), PROPOSAL_TIMEOUT).await;
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

    /// Number of claims accepted so far.
    pub fn accepted(&self) -> usize {
        let results = self.results.borrow();
        let accepted = |r: &&(u64, ProposeResult, Duration)| is_granted(&r.1);
        results.iter().filter(accepted).count()
    }

    pub async fn finish(self) -> ClaimResults {
        self.stop.set(true);
        for task in self.tasks {
            task.await.unwrap();
        }
        let mut results = ClaimResults {
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

impl ClaimResults {
    /// Asserts that one replica knows all accepted claims and no claim that was not accepted.
    pub async fn assert_visible_at(&self, cluster: &ReplicaCluster, replica: u16) {
        let client = cluster.client(&[replica]);
        let expected_outcomes: Vec<_> =
            (self.accepted.iter().map(|n| (*n, ClaimOutcome::InProgress)))
                .chain(
                    self.not_accepted
                        .iter()
                        .map(|n| (*n, ClaimOutcome::NotFound)),
                )
                .collect();
        for chunk in expected_outcomes.chunks(1000) {
            let verify = |(number, expected): &(u64, ClaimOutcome)| {
                let (client, number, expected) = (client.clone(), *number, expected.clone());
                async move {
                    let mut answer = QueryResult::Unconfirmed;
                    for _ in 0..60 {
                        if answer == QueryResult::Unconfirmed {
                            answer = client.query_claim(&claim_key(number), WAIT_TIMEOUT).await;
                        }
                    }
                    let expected = QueryResult::Answer(expected);
                    assert_eq!(answer, expected, "claim {number} at replica {replica}");
                }
            };
            futures::future::join_all(chunk.iter().map(verify)).await;
        }
    }
}

fn is_granted(result: &ProposeResult) -> bool {
    *result == ProposeResult::Outcome(Outcome::Claim(ClaimOutcome::Granted))
}
