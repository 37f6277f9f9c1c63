use super::{
    AllowanceChange, AllowanceDesign, AllowanceReport, AllowanceScenario, WorkspaceLoad,
    run_allowances,
};
use std::fmt;
use std::time::Duration;

/// Number of workspaces of the deployments that are compared.
const WORKSPACES: usize = 73;

/// Usual requests per second of an entry, over all workspaces.
const RATE_PER_ENTRY: f64 = 20.0;

/// The workspace whose demand changes, by rank. It has about 4% of the requests.
const CHANGED: usize = 4;

/// Time until which the start is left out.
const STARTUP: Duration = Duration::from_secs(1);

/// Time at which loads and failures begin.
const CHANGE_AT: Duration = Duration::from_secs(5);

/// Time at which failures end.
const RETURN_AT: Duration = Duration::from_secs(10);

/// Time at the end over which the use of the allowance is counted.
const USED_WINDOW: Duration = Duration::from_secs(10);

/// A load under which designs are compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AllowanceLoad {
    /// The usual demand.
    Usual,
    /// One workspace at nine times its usual demand at all entries.
    Excess,
    /// The smallest workspace at nine times its usual demand at all entries.
    ExcessOfSmallest,
    /// One workspace at nine times its usual demand at one entry.
    Hotspot,
    /// The demand of one workspace moves from one region to another.
    Move,
    /// A third of the entries crashes and returns, under [`AllowanceLoad::Excess`].
    Crash,
    /// Replicas are partitioned into two halves for 5 s, under [`AllowanceLoad::Excess`].
    Partition,
}

/// Results of a design under a load.
#[derive(Clone, Debug, PartialEq)]
pub struct AllowanceComparison {
    /// Number of entries.
    pub entries: usize,
    /// The load.
    pub load: AllowanceLoad,
    /// The design.
    pub design: AllowanceDesign,
    /// Fraction of the requests of workspaces within their allowance that were rejected, after the start.
    pub rejected_fraction: f64,
    /// Largest number of runs in a window of 5 s, as a multiple of the bound R7.
    pub worst_window: f64,
    /// Time from the change to the last wrong rejection of the changed workspace, if its demand stays within the
    /// allowance.
    pub move_time: Option<Duration>,
    /// Requests of the changed workspace that ran in the last 10 s, as a fraction of its allowance or, if that
    /// is less, its demand.
    pub used_fraction: f64,
    /// Size of the messages of an entry, in bytes per second.
    pub bytes_per_second_entry: f64,
    /// Size of the messages of a replica, in bytes per second.
    pub bytes_per_second_replica: f64,
}

impl AllowanceLoad {
    /// All loads.
    pub const ALL: [AllowanceLoad; 7] = [
        AllowanceLoad::Usual,
        AllowanceLoad::Excess,
        AllowanceLoad::ExcessOfSmallest,
        AllowanceLoad::Hotspot,
        AllowanceLoad::Move,
        AllowanceLoad::Crash,
        AllowanceLoad::Partition,
    ];

    fn changed(self) -> usize {
        match self {
            AllowanceLoad::ExcessOfSmallest => WORKSPACES - 1,
            _ => CHANGED,
        }
    }

    /// Multiple of the usual demand for the changed workspace at all entries together.
    fn factor(self, entries: usize) -> f64 {
        match self {
            AllowanceLoad::Usual | AllowanceLoad::Move => 1.0,
            AllowanceLoad::Hotspot => 1.0 + 8.0 / entries as f64,
            AllowanceLoad::Excess
            | AllowanceLoad::ExcessOfSmallest
            | AllowanceLoad::Crash
            | AllowanceLoad::Partition => 9.0,
        }
    }

    fn changes(self, count: usize) -> Vec<(Duration, AllowanceChange)> {
        let demand = |entries: Vec<usize>, factor| {
            let workspace = self.changed();
            let change = AllowanceChange::Demand {
                workspace,
                entries,
                factor,
            };
            (CHANGE_AT, change)
        };
        let region = |region| (0..count).filter(|n| n % 3 == region).collect();
        let excess = demand((0..count).collect(), 9.0);
        let third: Vec<usize> = (0..count / 3).collect();
        match self {
            AllowanceLoad::Usual => Vec::new(),
            AllowanceLoad::Excess | AllowanceLoad::ExcessOfSmallest => vec![excess],
            AllowanceLoad::Hotspot => vec![demand(vec![0], 9.0)],
            AllowanceLoad::Move => vec![demand(region(0), 0.0), demand(region(1), 2.0)],
            AllowanceLoad::Crash => vec![
                excess,
                (CHANGE_AT, AllowanceChange::Crash(third.clone())),
                (RETURN_AT, AllowanceChange::Start(third)),
            ],
            AllowanceLoad::Partition => vec![
                excess,
                (CHANGE_AT, AllowanceChange::Partition(true)),
                (RETURN_AT, AllowanceChange::Partition(false)),
            ],
        }
    }
}

impl AllowanceComparison {
    /// Runs a load under a design.
    pub fn run(entries: usize, load: AllowanceLoad, design: AllowanceDesign, seed: u64) -> Self {
        let workspaces = WorkspaceLoad::zipf(WORKSPACES, RATE_PER_ENTRY * entries as f64);
        let usual = workspaces[load.changed()].clone();
        let scenario = AllowanceScenario {
            design,
            changes: load.changes(entries),
            seed,
            ..AllowanceScenario::new(entries, workspaces)
        };
        let report = run_allowances(&scenario);
        let is_within = load.factor(entries) * usual.usual_rate <= usual.allowance.rate;
        let left_out = (!is_within).then_some(load.changed());
        let changed = &report.workspaces[load.changed()];
        let last = changed.wrong_rejections(CHANGE_AT).last();
        let usable = (load.factor(entries) * usual.usual_rate).min(usual.allowance.rate);
        let start = scenario.duration - USED_WINDOW;
        let runs = changed.runs_between(start, scenario.duration) as f64;
        let is_change = is_within && load != AllowanceLoad::Usual;
        AllowanceComparison {
            entries,
            load,
            design,
            rejected_fraction: rejected_fraction(&report, left_out),
            worst_window: (report.workspaces.iter())
                .map(|w| w.worst_window().0)
                .fold(0.0, f64::max),
            move_time: is_change.then(|| last.map_or(Duration::ZERO, |r| r.at - CHANGE_AT)),
            used_fraction: runs / (USED_WINDOW.as_secs_f64() * usable),
            bytes_per_second_entry: report.bytes_per_second_entry,
            bytes_per_second_replica: report.bytes_per_second_replica,
        }
    }
}

/// Fraction of the requests that were wrongly rejected, without those of one workspace.
fn rejected_fraction(report: &AllowanceReport, left_out: Option<usize>) -> f64 {
    let workspaces = report.workspaces.iter().enumerate();
    let counted = workspaces.filter(|(n, _)| Some(*n) != left_out);
    let counts = counted.map(|(_, w)| {
        let wrong = w.wrong_rejections(STARTUP).count();
        (wrong, w.runs.len() + w.rejections.len())
    });
    let (wrong, all) = counts.fold((0, 0), |sum, next| (sum.0 + next.0, sum.1 + next.1));
    wrong as f64 / all.max(1) as f64
}

impl fmt::Display for AllowanceLoad {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            AllowanceLoad::Usual => "usual",
            AllowanceLoad::Excess => "9x at all entries",
            AllowanceLoad::ExcessOfSmallest => "9x, smallest",
            AllowanceLoad::Hotspot => "9x at one entry",
            AllowanceLoad::Move => "moves to a region",
            AllowanceLoad::Crash => "9x, a third crashes",
            AllowanceLoad::Partition => "9x, partition",
        })
    }
}

/// A row of a table in Markdown; see [`AllowanceComparison::HEADER`].
impl fmt::Display for AllowanceComparison {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let move_time = self.move_time.map(|t| format!("{:.2}", t.as_secs_f64()));
        write!(
            f,
            "| {:>4} | {:<19} | {:<16} | {:>8.4}% | {:>6.2} | {:>5} | {:>5.2} | {:>6.0} | {:>7.0} |",
            self.entries,
            self.load,
            self.design,
            self.rejected_fraction * 100.0,
            self.worst_window,
            move_time.unwrap_or_default(),
            self.used_fraction,
            self.bytes_per_second_entry,
            self.bytes_per_second_replica
        )
    }
}

impl AllowanceComparison {
    /// Head of the table that rows belong to.
    pub const HEADER: &str = "\
| entries | load | design | wrongly rejected | worst window (of R7) | share moved after (s) | used \
| entry B/s | replica B/s |
|---|---|---|---|---|---|---|---|---|";
}
