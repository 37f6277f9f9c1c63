use super::State;
use super::apply::{conflict, refused};
use crate::{Command, ConfigChange, Outcome, Ownership, Takeover, preferred_owner};
use mangospindle_model::{EndpointId, EntryId, ErrorKind};
use std::time::Duration;

impl State {
    /// Assigns an endpoint to `owner` under the next epoch.
    pub(super) fn set_owner(
        &mut self,
        command: &Command,
        endpoint: EndpointId,
        owner: Option<EntryId>,
        takeover: Takeover,
    ) {
        let next = Ownership {
            owner,
            epoch: self.config.ownership[endpoint.index()].epoch + 1,
            takeover,
        };
        self.owned_since_ms[endpoint.index()] = self.clock.elapsed_ms;
        self.apply_change(command, ConfigChange::SetOwnership(endpoint, next));
    }

    /// Assigns the endpoints without an owner to their preferred owners. The new owner inherits a
    /// quarantine that no owner has waited for.
    pub(super) fn assign_unowned_endpoints(&mut self, command: &Command) {
        for endpoint in self.config.topology.endpoint_ids() {
            let current = self.config.ownership[endpoint.index()];
            if current.owner.is_none()
                && let Some(owner) = preferred_owner(&self.config, endpoint)
            {
                self.set_owner(command, endpoint, Some(owner), current.takeover);
            }
        }
    }

    /// Returns the endpoints that an entry owns.
    pub(super) fn endpoints_owned_by(&self, entry: EntryId) -> Vec<EndpointId> {
        let ids = self.config.topology.endpoint_ids();
        ids.filter(|id| self.config.owner_of(*id) == Some(entry))
            .collect()
    }

    pub(super) fn release_endpoint(
        &mut self,
        command: &Command,
        endpoint: EndpointId,
        entry: EntryId,
        epoch: u64,
    ) -> Outcome {
        let Some(current) = self.config.ownership.get(endpoint.index()).copied() else {
            return refused(ErrorKind::NotFound, "there is no such endpoint");
        };
        if current.owner != Some(entry) || current.epoch != epoch {
            let detail = format!("the ownership is at epoch {}", current.epoch);
            return conflict(detail, Some(current.epoch));
        }
        let takeover = match current.takeover {
            Takeover::Quarantine if !self.has_quarantine_ended(endpoint) => Takeover::Quarantine,
            Takeover::Quarantine | Takeover::Clean => Takeover::Clean,
        };
        let owner = preferred_owner(&self.config, endpoint);
        self.set_owner(command, endpoint, owner, takeover);
        self.done()
    }

    /// Whether the owner has had the endpoint for the longest deadline of the service, so that all
    /// requests of the lost owner have passed their deadlines.
    fn has_quarantine_ended(&self, endpoint: EndpointId) -> bool {
        let topology = &self.config.topology;
        let service = topology.endpoints[endpoint.index()].service;
        let owned_for_ms = self.clock.elapsed_ms - self.owned_since_ms[endpoint.index()];
        Duration::from_millis(owned_for_ms) >= topology.services[service.index()].max_deadline
    }
}
