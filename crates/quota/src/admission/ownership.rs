use super::{Admission, EndpointState};
use crate::{Action, cross_region_limiter::CrossRegionLimiter};
use mangospindle_routing::TargetStats;
use mangospindle_state::{EntryStatus, Takeover, preferred_owner};
use std::time::Duration;

/// Added to the deadline because an endpoint counts it from the arrival of the request.
const DEADLINE_GRACE: Duration = Duration::from_millis(500);

/// The assumed maximum drift between two clocks is one in this number: 1%.
const CLOCK_DRIFT_DIVISOR: u32 = 100;

/// Time for which an endpoint may still work on requests of a lost process.
fn quarantine_duration(max_deadline: Duration) -> Duration {
    max_deadline + max_deadline / CLOCK_DRIFT_DIVISOR + DEADLINE_GRACE
}

impl Admission {
    /// Adds new endpoints of the region. Endpoints are only ever appended to a topology, so that
    /// positions are the same in all processes.
    pub(super) fn add_endpoints(&mut self, now: Duration) {
        let topology = &self.config.topology;
        for id in topology.endpoint_ids() {
            if topology.endpoint_region(id) != self.region || self.positions.contains_key(&id) {
                continue;
            }
            let definition = &topology.endpoints[id.index()];
            let position = self.endpoints.len();
            let (slots, connections) = (definition.slots, definition.max_connections);
            let state = EndpointState::new(id, definition.service, slots, connections, now);
            self.endpoints.push(state);
            self.positions.insert(id, position);
        }
    }

    /// Applies ownership and operator drains of the configuration.
    pub(super) fn update_ownership(&mut self, now: Duration) {
        let config = self.config.clone();
        self.owned.clear();
        for service in &mut self.services {
            service.owned.clear();
        }
        for position in 0..self.endpoints.len() {
            let endpoint = &mut self.endpoints[position];
            let id = endpoint.id;
            endpoint.leaving_by_operator = config.endpoint_drain[id.index()];
            let ownership = config.ownership[id.index()];
            if ownership.owner != Some(self.entry) {
                endpoint.owned_epoch = None;
                endpoint.drain_started = None;
                endpoint.drained_in = None;
                endpoint.cancel_handover();
            } else if endpoint.owned_epoch != Some(ownership.epoch) {
                self.take_over(now, position, ownership.epoch, ownership.takeover);
            }
            let endpoint = &mut self.endpoints[position];
            if endpoint.owned_epoch.is_some() {
                self.owned.push(position);
                self.services[endpoint.service.index()].owned.push(position);
            }
            let preferred = (endpoint.owned_epoch).and_then(|_| preferred_owner(&config, id));
            endpoint.preferred_elsewhere = preferred.is_some_and(|p| p != self.entry);
            if !endpoint.released && !endpoint.preferred_elsewhere {
                endpoint.cancel_handover();
            }
        }
    }

    fn take_over(&mut self, now: Duration, position: usize, epoch: u64, takeover: Takeover) {
        let hold = self.region_hold();
        let service = self.endpoints[position].service;
        let quarantine =
            quarantine_duration(self.config.topology.services[service.index()].max_deadline);
        // Before the first confirmation, an earlier process of this entry may have dispatched under
        // the ownership.
        let restarted = !self.confirmed_once;
        let owner_lost = takeover == Takeover::Quarantine;
        let endpoint = &mut self.endpoints[position];
        endpoint.owned_epoch = Some(epoch);
        endpoint.cancel_handover();
        endpoint.usable_from = match (owner_lost, restarted) {
            (true, _) => now + quarantine,
            (false, true) => self.started_at + quarantine,
            (false, false) => now,
        };
        endpoint.region_share_from = match owner_lost {
            // Requests of the lost owner at other endpoints may still use this endpoint's share.
            true if self.region_limited => now + hold,
            _ => endpoint.usable_from,
        };
        // The previous owner may have used the endpoint's share within the last window.
        endpoint.cross_region_share_from =
            endpoint.usable_from.max(now + CrossRegionLimiter::WINDOW);
        if owner_lost || restarted || epoch <= 1 {
            endpoint.stats = TargetStats::new(endpoint.usable_from);
        } else {
            // The endpoint only changed its owner and is warm, so it needs no slow start.
            let slow_start_at = endpoint
                .usable_from
                .saturating_sub(TargetStats::SLOW_START_WINDOW);
            endpoint.stats = TargetStats::new(slow_start_at);
        }
    }

    /// Starts the handover of endpoints whose preferred owner is another entry. Each service hands
    /// over one endpoint at a time and keeps the others meanwhile.
    ///
    /// The next owner does not wait. Therefore, an endpoint is kept until its quarantine is over
    /// and no request that an earlier owner admitted uses its shares.
    pub(super) fn start_handovers(&mut self, now: Duration) {
        if now < self.region_hold_until {
            return;
        }
        for service in &self.services {
            let mut candidate: Option<usize> = None;
            let mut handover_active = false;
            for position in service.owned.iter().copied() {
                let endpoint = &self.endpoints[position];
                handover_active |= endpoint.is_in_handover();
                let in_flight = |i: usize| self.endpoints[i].in_flight;
                if endpoint.preferred_elsewhere
                    && endpoint.takeover_complete(now)
                    && candidate.is_none_or(|n| endpoint.in_flight < in_flight(n))
                {
                    candidate = Some(position);
                }
            }
            if let (false, Some(position)) = (handover_active, candidate) {
                self.endpoints[position].handover_started = true;
            }
        }
    }

    /// Reports leaving endpoints that became idle, and releases idle endpoints in handover.
    pub(super) fn report_drains(&mut self, now: Duration, actions: &mut Vec<Action>) {
        for i in 0..self.owned.len() {
            let position = self.owned[i];
            let endpoint = &mut self.endpoints[position];
            match (endpoint.is_leaving(), endpoint.drain_started) {
                (true, None) => endpoint.drain_started = Some(now),
                (false, Some(_)) => {
                    endpoint.drain_started = None;
                    endpoint.drained_in = None;
                    endpoint.stats.restart_slow_start(now);
                }
                _ => {}
            }
            let idle = endpoint.in_flight == 0;
            match endpoint.drain_started {
                Some(started) if idle && endpoint.drained_in.is_none() => {
                    endpoint.drained_in = Some(now - started);
                    actions.push(Action::Drained {
                        endpoint: endpoint.id,
                        drain_time: now - started,
                    });
                }
                _ => {}
            }
            if endpoint.handover_started && !endpoint.released && idle {
                self.release(now, position, actions);
            }
        }
    }

    fn release(&mut self, now: Duration, position: usize, actions: &mut Vec<Action>) {
        // The next owner gets the endpoint's share. This owner's requests must fit into the shares
        // of its other endpoints.
        let fits_other_shares = self.region_in_flight <= self.region_quota(now);
        let endpoint = &mut self.endpoints[position];
        if endpoint.connections > 0 {
            if std::mem::replace(&mut endpoint.close_requested, true) {
                return;
            }
            actions.push(Action::CloseConnections {
                endpoint: endpoint.id,
            });
        } else if let (true, Some(epoch)) = (fits_other_shares, endpoint.owned_epoch) {
            endpoint.released = true;
            actions.push(Action::ReadyToRelease {
                endpoint: endpoint.id,
                epoch,
            });
        }
    }

    /// Whether this entry is fenced, which means that its VM is gone.
    pub(super) fn is_fenced(&self) -> bool {
        let status = self.config.entry_status.get(self.entry.index());
        matches!(status, Some(EntryStatus::Fenced))
    }
}
