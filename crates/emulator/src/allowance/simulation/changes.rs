use super::{EntryEvent, Event, Simulation, name};
use crate::allowance::AllowanceChange;
use mangospindle_model::Allowance;
use std::time::Duration;

/// Time within which a configuration reaches all processes.
const CONFIG_DELAY: Duration = Duration::from_secs(1);

impl Simulation<'_> {
    pub(super) fn apply_change(&mut self, n: usize) {
        let scenario = self.scenario;
        match &scenario.changes[n].1 {
            AllowanceChange::Demand {
                workspace,
                entries,
                factor,
            } => {
                for entry in entries {
                    self.factors[*workspace][*entry] = *factor;
                }
            }
            AllowanceChange::Crash(entries) => {
                for entry in entries {
                    self.entries[*entry].is_alive = false;
                }
            }
            AllowanceChange::Start(entries) => {
                for entry in entries {
                    self.entries[*entry] = self.new_entry(*entry);
                    self.schedule_first_report(*entry);
                }
            }
            AllowanceChange::Freeze(entry) => self.entries[*entry].is_frozen = true,
            AllowanceChange::Thaw(entry) => self.thaw(*entry),
            AllowanceChange::RestartReplica(replica) => {
                self.replicas[*replica] = self.new_replica(*replica);
            }
            AllowanceChange::Partition(is_partitioned) => self.is_partitioned = *is_partitioned,
            AllowanceChange::Unreachable(is_unreachable) => self.is_unreachable = *is_unreachable,
            AllowanceChange::Limit {
                workspace,
                allowance,
            } => self.change_limit(*workspace, *allowance),
        }
    }

    fn thaw(&mut self, entry: usize) {
        let state = &mut self.entries[entry];
        state.is_frozen = false;
        for event in std::mem::take(&mut state.waiting) {
            self.handle_at_entry(entry, event);
        }
    }

    fn change_limit(&mut self, workspace: usize, allowance: Allowance) {
        if let Some(changed) = self.table.workspaces.get_mut(&name(workspace)) {
            changed.allowance = Some(allowance);
        }
        let everywhere = (self.now + CONFIG_DELAY, allowance);
        self.reports[workspace].allowances.push(everywhere);
        self.reference[workspace].set_allowance(self.now, allowance);
        for replica in 0..self.scenario.replicas {
            let delay = self.random_delay(CONFIG_DELAY);
            self.schedule(delay, Event::ReplicaLimits(replica, self.table.clone()));
        }
        for entry in 0..self.scenario.entries {
            let delay = self.random_delay(CONFIG_DELAY);
            let event = EntryEvent::Limits(self.table.clone());
            self.schedule_at_entry(delay, entry, event);
        }
    }
}
