use super::Admission;
use crate::Action;
use mangospindle_model::{EndpointId, ServiceId};
use std::time::Duration;

impl Admission {
    /// Asks for the right to open a connection to an endpoint. Each granted connection is given
    /// back by [`Admission::connection_closed`].
    pub fn reserve_connection(&mut self, now: Duration, endpoint: EndpointId) -> bool {
        let now = self.advance(now);
        let confirmed = self.confirmed_once;
        let Some(position) = self.positions.get(&endpoint) else {
            return false;
        };
        let endpoint = &mut self.endpoints[*position];
        // Requests that were dispatched before a drain may still need a connection.
        let wanted = endpoint.in_flight > 0 || !endpoint.is_going();
        let allowed = confirmed
            && endpoint.owned.is_some()
            && now >= endpoint.usable_from
            && !endpoint.released
            && wanted
            && endpoint.connections < endpoint.max_connections;
        if allowed {
            endpoint.connections += 1;
        }
        allowed
    }

    /// A connection to an endpoint was closed.
    pub fn connection_closed(&mut self, now: Duration, endpoint: EndpointId) -> Vec<Action> {
        let now = self.advance(now);
        if let Some(position) = self.positions.get(&endpoint) {
            let endpoint = &mut self.endpoints[*position];
            endpoint.connections = endpoint.connections.saturating_sub(1);
        }
        self.after_event(now)
    }

    /// Free slots of a service that new requests could use now, for reports to other entries.
    pub fn free_slots(&self, now: Duration, service: ServiceId) -> u32 {
        let now = self.latest.max(now);
        let Some(state) = self.services.get(service.index()) else {
            return 0;
        };
        let free = |i: &usize| {
            let e = &self.endpoints[*i];
            match e.is_usable(now) && !e.stats.is_ejected(now) {
                true => e.slots.saturating_sub(e.in_flight),
                false => 0,
            }
        };
        let slots: u32 = state.owned.iter().map(free).sum();
        let region = self.region_part(now).saturating_sub(self.region_in_flight);
        if self.confirmed_once {
            slots.min(region)
        } else {
            0
        }
    }

    /// Time until which a limited region gets no requests from this process after its start,
    /// because requests of its previous process and other owners with older configurations may use
    /// the limit. An entry that announces itself as active only then loses no capacity to the
    /// restart.
    pub fn startup_hold_until(&self) -> Duration {
        self.region_hold_until
    }
}
