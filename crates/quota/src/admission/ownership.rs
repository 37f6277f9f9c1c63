use super::{Admission, EndpointState};
use crate::{Action, cross_region::CrossRegion};
use mangospindle_routing::TargetStats;
use mangospindle_state::{EntryStatus, Takeover, preferred_owner};
use std::time::Duration;

/// Time after the longest deadline for an endpoint that counts it from the arrival of the request.
const DEADLINE_GRACE: Duration = Duration::from_millis(500);

/// Assumed bound on the drift between two clocks: one part in this many.
const DRIFT_PARTS: u32 = 100;

/// How long an endpoint may still work on requests that a lost process has sent.
fn quarantine(max_deadline: Duration) -> Duration {
    max_deadline + max_deadline / DRIFT_PARTS + DEADLINE_GRACE
}

impl Admission {
    /// Adds the region's new endpoints. Endpoints are only appended to a topology, so that
    /// positions are the same in all processes.
    pub(super) fn add_endpoints(&mut self, now: Duration) {
        let topology = &self.config.topology;
        for id in topology.endpoint_ids() {
            if topology.endpoint_region(id) != self.region || self.positions.contains_key(&id) {
                continue;
            }
            let item = &topology.endpoints[id.index()];
            let position = self.endpoints.len();
            let (slots, connections) = (item.slots, item.max_connections);
            let state = EndpointState::new(id, item.service, slots, connections, now);
            self.endpoints.push(state);
            self.positions.insert(id, position);
        }
    }

    /// Takes ownership and operator drains from the configuration.
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
                endpoint.owned = None;
                endpoint.drain_started = None;
                endpoint.drained_in = None;
                endpoint.stay();
            } else if endpoint.owned != Some(ownership.epoch) {
                self.take_over(now, position, ownership.epoch, ownership.takeover);
            }
            let endpoint = &mut self.endpoints[position];
            if endpoint.owned.is_some() {
                self.owned.push(position);
                self.services[endpoint.service.index()].owned.push(position);
            }
            let preferred = (endpoint.owned).and_then(|_| preferred_owner(&config, id));
            endpoint.preferred_elsewhere = preferred.is_some_and(|p| p != self.entry);
            if !endpoint.released && !endpoint.preferred_elsewhere {
                endpoint.stay();
            }
        }
    }

    fn take_over(&mut self, now: Duration, position: usize, epoch: u64, takeover: Takeover) {
        let hold = self.region_hold();
        let service = self.endpoints[position].service;
        let wait = quarantine(self.config.topology.services[service.index()].max_deadline);
        // An earlier process of this entry may have dispatched under any ownership that is seen
        // before the first confirmation.
        let restarted = !self.confirmed_once;
        let lost = takeover == Takeover::Quarantine;
        let endpoint = &mut self.endpoints[position];
        endpoint.owned = Some(epoch);
        endpoint.stay();
        endpoint.usable_from = match (lost, restarted) {
            (true, _) => now + wait,
            (false, true) => self.started + wait,
            (false, false) => now,
        };
        endpoint.share_from = match lost {
            // Requests of the lost owner at other endpoints may use this endpoint's share.
            true if self.region_limited => now + hold,
            _ => endpoint.usable_from,
        };
        // The previous owner may have used the endpoint's share until a moment ago.
        endpoint.cross_from = endpoint.usable_from.max(now + CrossRegion::WINDOW);
        if lost || restarted || epoch <= 1 {
            endpoint.stats = TargetStats::new(endpoint.usable_from);
        } else {
            // A warm endpoint only changed its owner: no slow start.
            let warm = endpoint
                .usable_from
                .saturating_sub(TargetStats::SLOW_START_WINDOW);
            endpoint.stats = TargetStats::new(warm);
        }
    }

    /// Starts the release of endpoints whose preferred owner is another entry: one at a time per
    /// service, so that the service keeps its other endpoints meanwhile.
    ///
    /// The next owner does not wait. Therefore an endpoint is kept until its quarantine is over and
    /// nothing that an earlier owner admitted uses its shares.
    pub(super) fn start_rehoming(&mut self, now: Duration) {
        if now < self.region_hold_until {
            return;
        }
        for service in &self.services {
            let mut next: Option<usize> = None;
            let mut one_is_going = false;
            for position in service.owned.iter().copied() {
                let endpoint = &self.endpoints[position];
                one_is_going |= endpoint.is_going();
                let in_flight = |i: usize| self.endpoints[i].in_flight;
                if endpoint.preferred_elsewhere
                    && endpoint.is_settled(now)
                    && next.is_none_or(|n| endpoint.in_flight < in_flight(n))
                {
                    next = Some(position);
                }
            }
            if let (false, Some(position)) = (one_is_going, next) {
                self.endpoints[position].rehoming = true;
            }
        }
    }

    /// Reports endpoints that are drained or ready to be released.
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
            if endpoint.rehoming && !endpoint.released && idle {
                self.release(now, position, actions);
            }
        }
    }

    fn release(&mut self, now: Duration, position: usize, actions: &mut Vec<Action>) {
        // The next owner gets the endpoint's share, so that this owner must fit into the others.
        let fits = self.region_in_flight <= self.region_part(now);
        let endpoint = &mut self.endpoints[position];
        if endpoint.connections > 0 {
            if std::mem::replace(&mut endpoint.closing, true) {
                return;
            }
            actions.push(Action::CloseConnections {
                endpoint: endpoint.id,
            });
        } else if let (true, Some(epoch)) = (fits, endpoint.owned) {
            endpoint.released = true;
            actions.push(Action::ReadyToRelease {
                endpoint: endpoint.id,
                epoch,
            });
        }
    }

    /// Whether the configuration says that this entry's VM is gone.
    pub(super) fn is_fenced(&self) -> bool {
        let status = self.config.entry_status.get(self.entry.index());
        matches!(status, Some(EntryStatus::Fenced))
    }
}
