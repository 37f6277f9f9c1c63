//! Benchmarks the write-ahead log with a cluster that runs in one thread and keeps its logs in the
//! directory for temporary files. Prints proposals per second, syncs per proposal and the time per
//! sync.
//!
//! Run it with `cargo run --release -p mangospindle-storage --example measure`.

use mangospindle_consensus::*;
use mangospindle_storage::{Wal, WalOptions};
use std::{
    collections::VecDeque,
    error::Error,
    path::Path,
    time::{Duration, Instant},
};

const COMMAND_BYTES: usize = 200;
const RUN_TIME: Duration = Duration::from_secs(3);

struct Case {
    nodes: usize,
    /// Number of proposals that are outstanding at the same time.
    outstanding: usize,
}

const CASES: &[Case] = &[
    Case {
        nodes: 3,
        outstanding: 1,
    },
    Case {
        nodes: 3,
        outstanding: 16,
    },
    Case {
        nodes: 3,
        outstanding: 256,
    },
    Case {
        nodes: 5,
        outstanding: 1,
    },
    Case {
        nodes: 5,
        outstanding: 16,
    },
    Case {
        nodes: 5,
        outstanding: 256,
    },
];

struct Replica {
    node: Node,
    wal: Wal,
    /// Whether the log has entries that are not synced.
    has_unsynced_entries: bool,
}

struct Cluster {
    replicas: Vec<Replica>,
    messages: VecDeque<Message>,
    now: Duration,
    syncs: u64,
    committed: u64,
}

impl Cluster {
    fn new(nodes: usize, path: &Path) -> Result<Self, Box<dyn Error>> {
        let start_replica = |number: usize| -> Result<Replica, Box<dyn Error>> {
            let directory = path.join(number.to_string());
            let options = WalOptions::default();
            let (wal, recovered) = Wal::open(&directory, options)?;
            let settings = NodeSettings {
                member: Member {
                    replica: ReplicaId(number as u32),
                    storage: wal.storage_id(),
                },
                replicas: (0..nodes as u32).map(ReplicaId).collect(),
                open_membership: false,
                tolerated_losses: None,
                may_form: true,
                timing: Timing::default(),
            };
            let node = Node::new(settings, recovered, number as u64, Duration::ZERO);
            Ok(Replica {
                node: node?,
                wal,
                has_unsynced_entries: false,
            })
        };
        Ok(Self {
            replicas: (0..nodes).map(start_replica).collect::<Result<_, _>>()?,
            messages: VecDeque::new(),
            now: Duration::ZERO,
            syncs: 0,
            committed: 0,
        })
    }

    /// Passes the inputs to a node and carries out its outputs.
    fn step(&mut self, number: usize, inputs: Vec<Input>) -> Result<(), Box<dyn Error>> {
        let replica = &mut self.replicas[number];
        for output in replica.node.step_all(self.now, inputs) {
            match output {
                Output::PersistHardState(state) => {
                    replica.wal.save_hard_state(&state)?;
                    replica.wal.sync()?;
                    self.syncs += 1;
                }
                Output::PersistEntries(entries) => {
                    replica.wal.append(&entries)?;
                    replica.has_unsynced_entries = true;
                }
                Output::Send(message) => self.messages.push_back(message),
                Output::ProposalCommitted { .. } => self.committed += 1,
                _ => {}
            }
        }
        Ok(())
    }

    /// Delivers messages and syncs logs until none is left. Syncs each log only when no message is
    /// left, so that entries share syncs.
    fn run_until_idle(&mut self) -> Result<(), Box<dyn Error>> {
        loop {
            while let Some(message) = self.messages.pop_front() {
                let to = message.to.replica.0 as usize;
                self.step(to, vec![Input::Message(message)])?;
            }
            for number in 0..self.replicas.len() {
                let replica = &mut self.replicas[number];
                if std::mem::take(&mut replica.has_unsynced_entries) {
                    let (index, term) = replica.wal.sync()?.ok_or("no entry")?;
                    self.syncs += 1;
                    self.step(number, vec![Input::Persisted { index, term }])?;
                }
            }
            if self.messages.is_empty() && self.replicas.iter().all(|r| !r.has_unsynced_entries) {
                return Ok(());
            }
        }
    }

    /// Advances the clock by 1 ms and runs the cluster until it is idle.
    fn tick(&mut self) -> Result<(), Box<dyn Error>> {
        self.now += Duration::from_millis(1);
        for number in 0..self.replicas.len() {
            self.step(number, vec![Input::Tick])?;
        }
        self.run_until_idle()
    }

    fn leader(&self) -> Option<usize> {
        let mut replicas = self.replicas.iter();
        replicas.position(|r| r.node.role() == Role::Leader)
    }
}

fn main() -> Result<(), Box<dyn Error>> {
    for case in CASES {
        let directory = tempfile::tempdir()?;
        let mut cluster = Cluster::new(case.nodes, directory.path())?;
        let leader = loop {
            cluster.tick()?;
            match cluster.leader() {
                Some(leader) => break leader,
                None if cluster.now > Duration::from_secs(10) => return Err("no leader".into()),
                None => {}
            }
        };
        let (start, syncs) = (Instant::now(), cluster.syncs);
        while start.elapsed() < RUN_TIME {
            let propose = |id: usize| Input::Propose {
                id: ProposalId(id as u64),
                command: vec![1; COMMAND_BYTES],
            };
            cluster.step(leader, (0..case.outstanding).map(propose).collect())?;
            cluster.tick()?;
        }
        let (elapsed, syncs) = (start.elapsed().as_secs_f64(), cluster.syncs - syncs);
        println!(
            "{} nodes, {} outstanding: {:.0} proposals/s, {:.4} syncs per proposal, {:.2} ms per sync",
            case.nodes,
            case.outstanding,
            cluster.committed as f64 / elapsed,
            syncs as f64 / cluster.committed as f64,
            elapsed * 1000.0 / syncs as f64,
        );
    }
    Ok(())
}
