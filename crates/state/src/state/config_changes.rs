use super::State;
use crate::{AuditChange, AuditRecord, Command, ConfigChange};

impl State {
    /// Applies a validated change to the configuration and appends it to the change history and the
    /// audit trail.
    pub(super) fn apply_change(&mut self, command: &Command, change: ConfigChange) {
        let before = self.inverse(&change);
        self.config.apply(&change);
        self.history.push(&change);
        self.append_audit_record(
            command,
            AuditChange::Config {
                before: before.map(Box::new),
                after: Box::new(change),
            },
        );
    }

    /// Appends a record to the audit trail.
    pub(super) fn append_audit_record(&mut self, command: &Command, change: AuditChange) {
        self.audit.push(AuditRecord {
            // Set by `AuditTrail::push`.
            sequence: 0,
            index: self.applied_index,
            leader_time_ms: command.leader_time_ms,
            actor: command.actor.clone(),
            request: command.request.clone(),
            version: self.config.version,
            change,
        });
    }

    /// Returns the change that would restore the current value.
    fn inverse(&self, change: &ConfigChange) -> Option<ConfigChange> {
        let config = &self.config;
        let current_profile = |name: &String| config.profiles.get(name).cloned();
        match change {
            ConfigChange::PutProfile(v) => {
                current_profile(&v.profile.name).map(ConfigChange::PutProfile)
            }
            ConfigChange::DeleteProfile(name) => {
                current_profile(name).map(ConfigChange::PutProfile)
            }
            ConfigChange::AssignProfile(id, _) => {
                let name = config.topology.services[id.index()].profile.clone();
                Some(ConfigChange::AssignProfile(*id, name))
            }
            ConfigChange::SetRegionLimit(id, _) => {
                let limit = config.topology.regions[id.index()].max_in_progress;
                Some(ConfigChange::SetRegionLimit(*id, limit))
            }
            ConfigChange::SetEndpointDrain(id, _) => {
                let drain = config.endpoint_drain[id.index()];
                Some(ConfigChange::SetEndpointDrain(*id, drain))
            }
            ConfigChange::UpdateRoutes(change) => {
                let mut next = config.routes.clone();
                next.apply(change);
                let inverse = next.change_to(&config.routes);
                Some(ConfigChange::UpdateRoutes(Box::new(inverse)))
            }
            ConfigChange::UpdateRoutesAndWorkspaces(routes, workspaces) => {
                let mut next = config.routes.clone();
                next.apply(routes);
                next.workspaces.apply(workspaces);
                let routes = Box::new(next.change_to(&config.routes));
                let workspaces = next.workspaces.change_to(&config.routes.workspaces);
                Some(match workspaces {
                    Some(w) => ConfigChange::UpdateRoutesAndWorkspaces(routes, Box::new(w)),
                    None => ConfigChange::UpdateRoutes(routes),
                })
            }
            ConfigChange::SetEvacuation(domain, _) => {
                let evacuated = config.evacuated.contains(domain);
                Some(ConfigChange::SetEvacuation(domain.clone(), evacuated))
            }
            ConfigChange::AddEntry(_) | ConfigChange::AddEndpoint(_) => None,
            ConfigChange::SetEntryStatus(id, _) => {
                let status = config.entry_status[id.index()];
                Some(ConfigChange::SetEntryStatus(*id, status))
            }
            ConfigChange::SetOwnership(id, _) => {
                let ownership = config.ownership[id.index()];
                Some(ConfigChange::SetOwnership(*id, ownership))
            }
        }
    }
}
