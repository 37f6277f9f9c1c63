use serde::Deserialize;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Consecutive good answers without a VM after which it counts as gone.
pub const MIN_ABSENT_POLLS: u32 = 10;

/// Time that a VM must be absent as well. The list lags, and polls can come in bursts after a
/// pause.
pub const MIN_ABSENT_TIME: Duration = Duration::from_secs(15);

/// A list with less than this share (in percent) of the VMs of the previous good list is taken for
/// a partial answer. More VMs than a failure domain or a region are not lost at once.
pub const MIN_LISTED_PERCENT: usize = 50;

/// The platform's VM list.
#[derive(Clone, Debug, Deserialize)]
pub struct VmList {
    /// The VMs.
    pub vms: Vec<ListedVm>,
}

/// A VM in a [`VmList`].
#[derive(Clone, Debug, Deserialize)]
pub struct ListedVm {
    /// Name of the VM.
    pub name: String,
    /// Whether it is about to stop.
    pub state: VmState,
}

/// State of a VM in a [`VmList`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// In service.
    Live,
    /// About to stop.
    Leaving,
}

/// Decides from successive lists which VMs are gone.
///
/// A VM is gone when it was listed before and is absent from [`MIN_ABSENT_POLLS`] good answers in a
/// row over at least [`MIN_ABSENT_TIME`]. It is reported together with the process that ran on it when
/// it was first absent, so that a process on its replacement is not fenced in its place.
#[derive(Clone, Debug, Default)]
pub struct VmTracker {
    vms: BTreeMap<String, Option<Absence>>,
    last_size: usize,
}

/// The time since a VM was last listed.
#[derive(Clone, Copy, Debug)]
struct Absence {
    answers: u32,
    since: Duration,
    incarnation: Option<u64>,
}

impl VmTracker {
    /// Takes a list. Returns the VMs that are gone with their processes, or `None` if the list looks
    /// partial. `incarnation_of` gives the process that runs on a VM at present, if any.
    pub fn observe<F>(
        &mut self,
        list: &VmList,
        now: Duration,
        incarnation_of: F,
    ) -> Option<BTreeMap<String, u64>>
    where
        F: Fn(&str) -> Option<u64>,
    {
        let listed: BTreeSet<&String> = list.vms.iter().map(|vm| &vm.name).collect();
        if listed.is_empty() || listed.len() * 100 < self.last_size * MIN_LISTED_PERCENT {
            return None;
        }
        self.last_size = listed.len();
        for (name, absence) in &mut self.vms {
            if !listed.contains(name) {
                let absence = absence.get_or_insert_with(|| Absence {
                    answers: 0,
                    since: now,
                    incarnation: incarnation_of(name),
                });
                absence.answers += 1;
            }
        }
        for name in listed {
            self.vms.insert(name.clone(), None);
        }
        // A VM that is reported stays, so that it is reported again should the fence get lost.
        let gone = |absence: &Absence| {
            absence.answers >= MIN_ABSENT_POLLS
                && now.saturating_sub(absence.since) >= MIN_ABSENT_TIME
        };
        let gone = (self.vms.iter())
            .filter_map(|(name, absence)| Some((name, (*absence).filter(gone)?.incarnation?)))
            .map(|(name, incarnation)| (name.clone(), incarnation))
            .collect();
        Some(gone)
    }
}
