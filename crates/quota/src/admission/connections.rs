use super::Admission;
use crate::Action;
use mangospindle_model::{EndpointId, ServiceId};
use std::time::Duration;

impl Admission {
    /// Reserves one connection to an endpoint and returns whether it may be opened. The caller
    /// returns each granted connection with [`Admission::connection_closed`].
    pub fn reserve_connection(&mut self, now: Duration, endpoint: EndpointId) -> bool {
        let now = self.advance_clock(now);
        let confirmed = self.confirmed_once;
        let Some(position) = self.positions.get(&endpoint) else {
            return false;
        };
        let endpoint = &mut self.endpoints[*position];
        // Requests that were dispatched before the handover may still need a connection.
        let needed = endpoint.in_flight > 0 || !endpoint.is_in_handover();
        let allowed = confirmed
            && endpoint.owned_epoch.is_some()
            && now >= endpoint.usable_from
            && !endpoint.released
            && needed
            && endpoint.connections < endpoint.max_connections;
        if allowed {
            endpoint.connections += 1;
        }
        allowed
    }

    /// Records that a connection to an endpoint was closed.
    pub fn connection_closed(&mut self, now: Duration, endpoint: EndpointId) -> Vec<Action> {
        let now = self.advance_clock(now);
        if let Some(position) = self.positions.get(&endpoint) {
            let endpoint = &mut self.endpoints[*position];
            endpoint.connections = endpoint.connections.saturating_sub(1);
        }
        self.after_event(now)
    }

    /// Slots of a service that new requests can use now, as reported to other entries.
    pub fn free_slots(&self, now: Duration, service: ServiceId) -> u32 {
        let now = self.latest_now.max(now);
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
        let region_slots = self.region_quota(now).saturating_sub(self.region_in_flight);
        if self.confirmed_once {
            slots.min(region_slots)
        } else {
            0
        }
    }

    /// Time until which this process admits no requests in a limited region after its start.
    ///
    /// Until then, requests of the entry's previous process, and other owners with older
    /// configurations, may still use the limit. An entry that announces itself as active only
    /// after this time loses no capacity to the restart.
    pub fn startup_hold_until(&self) -> Duration {
        self.region_hold_until
    }
}
