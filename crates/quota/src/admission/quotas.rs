use super::Admission;
use crate::cross_region_limiter::CrossRegionLimiter;
use crate::largest_remainder::largest_remainder;
use crate::share_history::ShareHistory;
use mangospindle_model::{RegionId, ServiceId};
use std::time::Duration;

/// Maximum age of the last configuration confirmation at which cross-region requests are admitted.
const MAX_CONFIRMATION_AGE: Duration = Duration::from_secs(2);

impl Admission {
    /// Hold time of the region limit: how long increased shares are held back after any share has
    /// decreased. By then, all owners have the configuration, and requests admitted under the old
    /// one have ended.
    pub(super) fn region_hold(&self) -> Duration {
        let services = &self.config.topology.services;
        let longest_deadline = services.iter().map(|s| s.max_deadline).max();
        ShareHistory::MAX_PROPAGATION_DELAY + longest_deadline.unwrap_or_default()
    }

    /// Hold time of the cross-region limits, which count the admissions of one window.
    pub(super) fn cross_region_hold(&self) -> Duration {
        ShareHistory::MAX_PROPAGATION_DELAY + CrossRegionLimiter::WINDOW
    }

    /// Recomputes the shares of the region limit and of the cross-region limits.
    pub(super) fn update_shares(&mut self, now: Duration, versions_skipped: bool) {
        let slots: Vec<u32> = self.endpoints.iter().map(|e| e.slots).collect();
        let region = self.config.topology.regions.get(self.region.index());
        let limit = region.map_or(0, |r| r.max_in_progress);
        let total: u32 = slots.iter().sum();
        let shares = largest_remainder(limit.min(total), &slots, 0);
        self.region_limited = limit < total;
        let hold = self.region_hold();
        self.region_shares
            .update(now, hold, shares, versions_skipped);
        let hold = self.cross_region_hold();
        for service in 0..self.services.len() {
            let key = ServiceId(service as u16);
            let profile = self.config.profile_of(key);
            let limit = profile.map_or(0, |p| p.cross_region_limit);
            let of_service = |e: &super::EndpointState| match e.service == key {
                true => e.slots,
                false => 0,
            };
            let weights: Vec<u32> = self.endpoints.iter().map(of_service).collect();
            for (home, limiter) in self.services[service]
                .cross_region_limiters
                .iter_mut()
                .enumerate()
            {
                let seed = 1 + ((service as u64) << 16 | home as u64);
                let shares = largest_remainder(limit, &weights, seed);
                limiter.shares.update(now, hold, shares, versions_skipped);
            }
        }
    }

    /// This owner's quota of the region limit: the sum of the effective shares of its endpoints.
    pub(super) fn region_quota(&self, now: Duration) -> u32 {
        let share = |i: &usize| {
            let e = &self.endpoints[*i];
            if now < e.region_share_from {
                return 0;
            }
            let share = self.region_shares.effective_share(now, *i);
            // During a handover, the endpoint's share only covers the requests still running
            // on it.
            if e.is_in_handover() {
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

    /// This owner's quota of a cross-region limit: the sum of the effective shares of its
    /// endpoints.
    fn cross_region_quota(&self, now: Duration, service: ServiceId, home: RegionId) -> u32 {
        let state = &self.services[service.index()];
        let Some(limiter) = state.cross_region_limiters.get(home.index()) else {
            return 0;
        };
        let is_counted = |i: &&usize| {
            let e = &self.endpoints[**i];
            !e.is_in_handover() && now >= e.cross_region_share_from
        };
        (state.owned.iter().filter(is_counted))
            .map(|i| limiter.shares.effective_share(now, *i))
            .sum()
    }

    /// Whether the cross-region limit allows a request from a client of region `home`. Always true
    /// for the own region.
    pub(super) fn cross_region_allows(
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
        let limiter = self.services[service.index()]
            .cross_region_limiters
            .get(home.index());
        match (limiter, self.config.profile_of(service)) {
            (Some(limiter), Some(profile)) if confirmed && now >= self.cross_region_hold_until => {
                limiter.allows(now, self.cross_region_quota(now, service, home), profile)
            }
            _ => false,
        }
    }
}
