use super::{Router, choose::Availability};
use crate::{Attempts, RetryDecision};
use mangospindle_model::{CanHaveRun, EntryId, ErrorKind, Hedging, RequestClass};
use rand::Rng;
use std::time::Duration;

/// Maximum number of attempts at other owners after refusals. They do not use the retry budget,
/// because a refusal costs the owner almost nothing and another owner may have free slots.
const MAX_REDIRECTS: u8 = 2;
/// Maximum number of waits for endpoints that are changing owners. A planned change of owner takes
/// two round trips to the control replicas, during which no owner may dispatch to the endpoint.
const MAX_OWNERSHIP_WAITS: u8 = 4;
/// Maximum of the jittered delay while endpoints are changing owners.
const MAX_OWNERSHIP_WAIT_DELAY: Duration = Duration::from_millis(150);
/// Maximum number of retries of a read after failures.
const MAX_RETRIES: u8 = 2;
/// Maximum of the jittered delay before an attempt at another owner after a refusal.
const MAX_REDIRECT_DELAY: Duration = Duration::from_millis(5);
/// Maximum of the jittered delay before the first retry. It doubles with each further retry.
const MAX_FIRST_RETRY_DELAY: Duration = Duration::from_millis(25);
/// Fraction of refused attempts above which requests are not hedged, because a hedge would take a
/// slot from another request.
const MAX_HEDGE_REFUSAL_RATIO: f64 = 0.1;
/// Maximum jitter added to the minimum `Retry-After` if all recent attempts were refused, in
/// seconds.
const MAX_RETRY_AFTER_JITTER_S: f64 = 14.0;

impl Router {
    pub(super) fn decide_retry(
        &mut self,
        now: Duration,
        attempts: &mut Attempts,
        kind: ErrorKind,
    ) -> RetryDecision {
        let remaining = attempts.deadline.saturating_sub(now);
        let refused = kind.row().can_have_run == CanHaveRun::No;
        let may_repeat = refused || attempts.class == RequestClass::Read;
        if !may_repeat || !may_succeed_elsewhere(kind) || remaining.is_zero() {
            return RetryDecision::GiveUp;
        }
        let Some(service) = self.services.get_mut(attempts.service.index()) else {
            return RetryDecision::GiveUp;
        };
        let untried = (service.owners.iter()).any(|o| !attempts.tried.contains(&o.entry));
        let max_delay = if refused {
            let ownership_may_change = matches!(kind, ErrorKind::NoEndpoint | ErrorKind::Draining);
            match (
                attempts.redirects < MAX_REDIRECTS && untried,
                ownership_may_change,
            ) {
                (true, _) => {
                    attempts.redirects += 1;
                    MAX_REDIRECT_DELAY
                }
                (false, true) if attempts.ownership_waits < MAX_OWNERSHIP_WAITS => {
                    attempts.ownership_waits += 1;
                    attempts.tried.clear();
                    MAX_OWNERSHIP_WAIT_DELAY
                }
                (false, _) => return RetryDecision::GiveUp,
            }
        } else {
            if attempts.retries >= MAX_RETRIES || !service.budget.withdraw() {
                return RetryDecision::GiveUp;
            }
            attempts.retries += 1;
            MAX_FIRST_RETRY_DELAY * (1 << (attempts.retries - 1))
        };
        let max_delay = max_delay.min(remaining / 4);
        RetryDecision::Retry {
            delay: max_delay.mul_f64(self.rng.random()),
        }
    }

    pub(super) fn profile_hedge_delay(&self, attempts: &Attempts) -> Option<Duration> {
        if attempts.class != RequestClass::Read || attempts.hedged {
            return None;
        }
        match self.config.profile_of(attempts.service)?.hedging {
            Hedging::Off => None,
            Hedging::After { delay } => Some(delay),
        }
    }

    pub(super) fn start_hedge(
        &mut self,
        now: Duration,
        attempts: &mut Attempts,
    ) -> Option<EntryId> {
        self.profile_hedge_delay(attempts)?;
        let service = self.services.get(attempts.service.index())?;
        if now >= attempts.deadline || service.refusals.ratio(now) > MAX_HEDGE_REFUSAL_RATIO {
            return None;
        }
        let owner = self.select_owner(now, attempts, Availability::Available, false)?;
        if !self.services[attempts.service.index()].budget.withdraw() {
            return None;
        }
        attempts.hedged = true;
        self.record_attempt(attempts, owner);
        Some(owner)
    }

    pub(super) fn jittered_retry_after(&mut self, refusal_ratio: f64) -> Duration {
        let jitter_s = 1.0 + (MAX_RETRY_AFTER_JITTER_S - 1.0) * refusal_ratio;
        Duration::from_secs_f64(1.0 + jitter_s * self.rng.random::<f64>())
    }
}

/// Whether an attempt at another owner could succeed after this error.
fn may_succeed_elsewhere(kind: ErrorKind) -> bool {
    matches!(
        kind,
        ErrorKind::NoEndpoint
            | ErrorKind::NoCapacity
            | ErrorKind::Shed
            | ErrorKind::CrossRegionLimit
            | ErrorKind::Draining
            | ErrorKind::UpstreamFailed
            | ErrorKind::DeadlineExceeded
            | ErrorKind::Internal
    )
}
