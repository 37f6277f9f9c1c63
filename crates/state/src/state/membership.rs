use super::State;
use super::apply::refused;
use crate::{Command, ConfigChange, EntryStatus, Outcome, Takeover, preferred_owner};
use mangospindle_model::{EntryId, ErrorKind};

impl State {
    /// Handles the join of a process, which replaces the process that joined before it on the same
    /// VM.
    ///
    /// An endpoint that the entry still owns was not released by the earlier process, whose
    /// requests can still run. The entry keeps the endpoint, but under a new epoch and in
    /// quarantine. The new process therefore cannot mistake it for a clean ownership of its own. A
    /// release that the earlier process sent for the old epoch no longer has an effect.
    pub(super) fn entry_join(
        &mut self,
        command: &Command,
        entry: EntryId,
        incarnation: u64,
    ) -> Outcome {
        let Some(status) = self.config.entry_status.get(entry.index()).copied() else {
            return refused(ErrorKind::NotFound, "there is no such entry");
        };
        if status == (EntryStatus::Active { incarnation }) {
            return self.done();
        }
        if status == (EntryStatus::Leaving { incarnation })
            || self.retired.contains(entry, incarnation)
        {
            let reason = "this process has left, was replaced or was fenced";
            return refused(ErrorKind::InvalidChange, reason);
        }
        self.retire_process(entry);
        let active = EntryStatus::Active { incarnation };
        self.apply_change(command, ConfigChange::SetEntryStatus(entry, active));
        for endpoint in self.endpoints_owned_by(entry) {
            self.set_owner(command, endpoint, Some(entry), Takeover::Quarantine);
        }
        self.assign_unowned_endpoints(command);
        self.done()
    }

    /// Handles the announced shutdown of a process. It keeps its endpoints until it releases them.
    pub(super) fn entry_leave(
        &mut self,
        command: &Command,
        entry: EntryId,
        incarnation: u64,
    ) -> Outcome {
        match self.config.entry_status.get(entry.index()).copied() {
            None => return refused(ErrorKind::NotFound, "there is no such entry"),
            Some(EntryStatus::Active { incarnation: i }) if i == incarnation => {
                let leaving = EntryStatus::Leaving { incarnation };
                self.apply_change(command, ConfigChange::SetEntryStatus(entry, leaving));
            }
            Some(EntryStatus::Leaving { incarnation: i }) if i == incarnation => {}
            // The join of this process can still arrive. It must be refused, because nothing would
            // end the membership.
            Some(_) => self.retired.insert(entry, incarnation),
        }
        self.done()
    }

    /// Fences the VM of an entry. Its endpoints change their owner and go into quarantine.
    pub(super) fn fence_vm(
        &mut self,
        command: &Command,
        name: &str,
        incarnation: Option<u64>,
    ) -> Outcome {
        let topology = &self.config.topology;
        let Some(entry) = topology.entry_by_name(name) else {
            return match topology.endpoint_by_name(name) {
                Some(_) => refused(ErrorKind::InvalidChange, "only VMs of entries are fenced"),
                None => refused(ErrorKind::NotFound, "there is no such VM"),
            };
        };
        match (incarnation, self.current_process(entry)) {
            (Some(last_seen), current) if current != Some(last_seen) => {
                self.retired.insert(entry, last_seen);
                return self.done();
            }
            (_, None) => return self.done(),
            (_, Some(_)) => {}
        }
        self.retire_process(entry);
        let change = ConfigChange::SetEntryStatus(entry, EntryStatus::Fenced);
        self.apply_change(command, change);
        for endpoint in self.endpoints_owned_by(entry) {
            let owner = preferred_owner(&self.config, endpoint);
            self.set_owner(command, endpoint, owner, Takeover::Quarantine);
        }
        self.done()
    }

    /// Returns the incarnation of the process that joined last, unless it was fenced.
    pub(super) fn current_process(&self, entry: EntryId) -> Option<u64> {
        match self.config.entry_status.get(entry.index())? {
            EntryStatus::Active { incarnation } | EntryStatus::Leaving { incarnation } => {
                Some(*incarnation)
            }
            EntryStatus::Absent | EntryStatus::Fenced => None,
        }
    }

    fn retire_process(&mut self, entry: EntryId) {
        if let Some(incarnation) = self.current_process(entry) {
            self.retired.insert(entry, incarnation);
            self.released.remove_process(entry);
        }
    }
}
