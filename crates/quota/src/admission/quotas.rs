use super::Admission;
use crate::cross_region_limiter::CrossRegion;
use crate::largest_remainder::largest_remainder;
use crate::share_history::ShareHistory;
use mangospindle_model::{RegionId, ServiceId};
use std::time::Duration;

/// Oldest confirmation of the configuration under which cross-region requests are admitted.
const MAX_CONFIRMATION_AGE: Duration = Duration::from_secs(2);

impl Admission {
    /// How long a decreased share of the region limit restricts increases: until all owners have
    /// the configuration, and requests admitted under the old one are over.
    pub(super) fn region_hold(&self) -> Duration {
        let services = &self.config.topology.services;
        let longest = services.iter().map(|s| s.max_deadline).max();
        ShareHistory::SPREAD + longest.unwrap_or_default()
    }

    /// The same for shares of cross-region limits, which count admissions of one window.
    pub(super) fn cross_hold(&self) -> Duration {
        ShareHistory::SPREAD + CrossRegion::WINDOW
    }

    /// Recomputes the shares of the region limit and of the cross-region limits.
    pub(super) fn update_shares(&mut self, now: Duration, skipped: bool) {
        let slots: Vec<u32> = self.endpoints.iter().map(|e| e.slots).collect();
        let region = self.config.topology.regions.get(self.region.index());
        let limit = region.map_or(0, |r| r.max_in_progress);
        let total: u32 = slots.iter().sum();
        let shares = largest_remainder(limit.min(total), &slots, 0);
        self.region_limited = limit < total;
        let hold = self.region_hold();
        self.region_shares.update(now, hold, shares, skipped);
        let hold = self.cross_hold();
        for service in 0..self.services.len() {
            let key = ServiceId(service as u16);
            let profile = self.config.profile_of(key);
            let limit = profile.map_or(0, |p| p.cross_region_limit);
            let of_service = |e: &super::EndpointState| match e.service == key {
                true => e.slots,
                false => 0,
            };
            let weights: Vec<u32> = self.endpoints.iter().map(of_service).collect();
            for (home, cross) in self.services[service].cross.iter_mut().enumerate() {
                let seed = 1 + ((service as u64) << 16 | home as u64);
                let shares = largest_remainder(limit, &weights, seed);
                cross.shares.update(now, hold, shares, skipped);
            }
        }
    }

    /// The owner's part of the region limit.
    pub(super) fn region_part(&self, now: Duration) -> u32 {
        let share = |i: &usize| {
            let e = &self.endpoints[*i];
            if now < e.share_from {
                return 0;
            }
            let share = self.region_shares.effective(now, *i);
            // A share on the way to another owner is only used by what runs there still.
            if e.is_going() {
                share.min(e.in_flight)
            } else {
                share
            }
        };
        match now < self.region_hold_until {
            true => 0,
            false => self.owned.iter().map(share).sum(),
        }
    }

    /// The owner's part of a cross-region limit.
    fn cross_part(&self, now: Duration, service: ServiceId, home: RegionId) -> u32 {
        let state = &self.services[service.index()];
        let Some(cross) = state.cross.get(home.index()) else {
            return 0;
        };
        let counts = |i: &&usize| {
            let e = &self.endpoints[**i];
            !e.is_going() && now >= e.cross_from
        };
        (state.owned.iter().filter(counts))
            .map(|i| cross.shares.effective(now, *i))
            .sum()
    }

    /// Whether a request of a client of `home` may be admitted under the cross-region limit.
    pub(super) fn cross_region_admits(
        &self,
        now: Duration,
        service: ServiceId,
        home: RegionId,
    ) -> bool {
        if home == self.region {
            return true;
        }
        let confirmed = self
            .confirmed_at
            .is_some_and(|t| now < t + MAX_CONFIRMATION_AGE);
        let cross = self.services[service.index()].cross.get(home.index());
        match (cross, self.config.profile_of(service)) {
            (Some(cross), Some(profile)) if confirmed && now >= self.cross_hold_until => {
                cross.admits(now, self.cross_part(now, service, home), profile)
            }
            _ => false,
        }
    }
}
