use serde::Deserialize;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Consecutive complete lists without a VM after which the VM may count as removed.
pub const MIN_ABSENT_POLLS: u32 = 10;

/// Minimum time for which a VM must also be absent. The list lags behind, and polls can come in
/// bursts after a pause.
pub const MIN_ABSENT_TIME: Duration = Duration::from_secs(15);

/// A list with less than this percentage of the VMs of the previous complete list is treated as
/// partial. At most the VMs of a failure domain or a region are lost at once.
pub const MIN_LISTED_PERCENT: usize = 50;

/// The platform's VM list.
#[derive(Clone, Debug, Deserialize)]
pub struct VmList {
    /// The listed VMs.
    pub vms: Vec<ListedVm>,
}

/// A VM in a [`VmList`].
#[derive(Clone, Debug, Deserialize)]
pub struct ListedVm {
    /// Name of the VM.
    pub name: String,
    /// State of the VM.
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

/// Determines from successive lists which VMs have been removed.
///
/// A VM counts as removed if it was listed before and is absent from [`MIN_ABSENT_POLLS`] consecutive
/// complete lists over at least [`MIN_ABSENT_TIME`]. It is reported with the incarnation of the
/// process that ran on it when it was first absent, so that a process on its replacement is not
/// fenced by mistake.
#[derive(Clone, Debug, Default)]
pub struct VmTracker {
    vms: BTreeMap<String, Option<Absence>>,
    last_list_len: usize,
}

/// Consecutive lists from which a VM was absent.
#[derive(Clone, Copy, Debug)]
struct Absence {
    polls: u32,
    since: Duration,
    incarnation: Option<u64>,
}

impl VmTracker {
    /// Processes a list. Returns the names of removed VMs with the incarnations of their processes, or
    /// `None` if the list looks partial. `incarnation_of` returns the incarnation of the process that
    /// currently runs on a VM, if any.
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
        if listed.is_empty() || listed.len() * 100 < self.last_list_len * MIN_LISTED_PERCENT {
            return None;
        }
        self.last_list_len = listed.len();
        for (name, absence) in &mut self.vms {
            if !listed.contains(name) {
                let absence = absence.get_or_insert_with(|| Absence {
                    polls: 0,
                    since: now,
                    incarnation: incarnation_of(name),
                });
                absence.polls += 1;
            }
        }
        for name in listed {
            self.vms.insert(name.clone(), None);
        }
        // A reported VM is kept, so that it is reported again if the fence command is lost.
        let removed = |absence: &Absence| {
            absence.polls >= MIN_ABSENT_POLLS
                && now.saturating_sub(absence.since) >= MIN_ABSENT_TIME
        };
        let removed = (self.vms.iter())
            .filter_map(|(name, absence)| Some((name, (*absence).filter(removed)?.incarnation?)))
            .map(|(name, incarnation)| (name.clone(), incarnation))
            .collect();
        Some(removed)
    }
}
