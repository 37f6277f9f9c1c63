use super::AllowanceDesign;
use mangospindle_model::Allowance;
use std::time::Duration;

/// Demand and allowance of a workspace.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkspaceLoad {
    /// Requests per second at all entries together, evenly spread, while nothing changes them.
    pub usual_rate: f64,
    /// Its allowance.
    pub allowance: Allowance,
}

impl WorkspaceLoad {
    /// A workspace with the usual allowance: 1.6 times its demand, and the requests of one second at once.
    pub fn usual(usual_rate: f64) -> Self {
        let rate = 1.6 * usual_rate;
        let allowance = Allowance { rate, burst: rate };
        WorkspaceLoad {
            usual_rate,
            allowance,
        }
    }

    /// Workspaces whose sizes follow a Zipf distribution with exponent 1.2.
    pub fn zipf(count: usize, total_rate: f64) -> Vec<Self> {
        let weights: Vec<f64> = (1..=count).map(|n| (n as f64).powf(-1.2)).collect();
        let sum: f64 = weights.iter().sum();
        let rates = weights.iter().map(|w| total_rate * w / sum);
        rates.map(WorkspaceLoad::usual).collect()
    }
}

/// A change during a run. Workspaces, entries and replicas are given by index.
#[derive(Clone, Debug, PartialEq)]
pub enum AllowanceChange {
    /// The demand for a workspace at some entries is this multiple of the usual one.
    Demand {
        /// The workspace.
        workspace: usize,
        /// The entries.
        entries: Vec<usize>,
        /// The multiple.
        factor: f64,
    },
    /// Entries stop. Their callers use the others.
    Crash(Vec<usize>),
    /// Entries start again without state.
    Start(Vec<usize>),
    /// An entry handles nothing; what reaches it waits.
    Freeze(usize),
    /// A frozen entry handles what has waited.
    Thaw(usize),
    /// A replica restarts without state.
    RestartReplica(usize),
    /// Whether replicas only reach those of the same half.
    Partition(bool),
    /// Whether entries reach no replica.
    Unreachable(bool),
    /// A configuration with another allowance, which reaches each process within 1 s.
    Limit {
        /// The workspace.
        workspace: usize,
        /// The new allowance.
        allowance: Allowance,
    },
}

/// A deployment and its load.
#[derive(Clone, Debug, PartialEq)]
pub struct AllowanceScenario {
    /// How allowances are enforced.
    pub design: AllowanceDesign,
    /// Number of entries; entry `n` is in region `n % 3`.
    pub entries: usize,
    /// Number of replicas; replica `n` is in region `n % 3`.
    pub replicas: usize,
    /// Workspaces.
    pub workspaces: Vec<WorkspaceLoad>,
    /// Fraction of the admitted requests that are rejected 5 ms later without having run.
    pub refunded_fraction: f64,
    /// Changes and the times at which they take effect.
    pub changes: Vec<(Duration, AllowanceChange)>,
    /// Time during which callers send requests.
    pub duration: Duration,
    /// Seed of all random numbers.
    pub seed: u64,
}

impl AllowanceScenario {
    /// A deployment with 6 replicas without failures.
    pub fn new(entries: usize, workspaces: Vec<WorkspaceLoad>) -> Self {
        AllowanceScenario {
            design: AllowanceDesign::FollowingShares,
            entries,
            replicas: 6,
            workspaces,
            refunded_fraction: 0.0,
            changes: Vec::new(),
            duration: Duration::from_secs(20),
            seed: 1,
        }
    }
}
