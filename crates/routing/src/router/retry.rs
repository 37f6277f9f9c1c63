use super::{Router, choose::Quality};
use crate::{Attempts, RetryDecision};
use mangospindle_model::{CanHaveRun, EntryId, ErrorKind, Hedging, RequestClass};
use rand::Rng;
use std::time::Duration;

/// Owners tried after a refusal, without use of the retry budget: a refusal costs the owner almost
/// nothing, and another owner may have free slots.
const MAX_REDIRECTS: u8 = 2;
/// Waits for endpoints that are on the way from one owner to another. A planned change of owner
/// takes two round trips to the control replicas, during which nobody may dispatch.
const MAX_WAITS: u8 = 4;
/// Longest jittered delay of such a wait.
const WAIT_JITTER: Duration = Duration::from_millis(150);
/// Retries of a read after failures.
const MAX_RETRIES: u8 = 2;
/// Longest jittered delay before a redirect.
const REDIRECT_JITTER: Duration = Duration::from_millis(5);
/// Longest jittered delay before the first retry; doubles with each further one.
const RETRY_JITTER: Duration = Duration::from_millis(25);
/// Share of refusals above which nothing is hedged, because the hedge would take a slot from
/// another request.
const MAX_HEDGE_PRESSURE: f64 = 0.1;
/// Largest `Retry-After` beyond the minimum under full pressure, in seconds.
const RETRY_AFTER_SPREAD_S: f64 = 14.0;

impl Router {
    pub(super) fn decide_retry(
        &mut self,
        now: Duration,
        attempts: &mut Attempts,
        kind: ErrorKind,
    ) -> RetryDecision {
        let remaining = attempts.deadline.saturating_sub(now);
        let refused = kind.row().can_have_run == CanHaveRun::No;
        let safe = refused || attempts.class == RequestClass::Read;
        if !safe || !may_succeed_elsewhere(kind) || remaining.is_zero() {
            return RetryDecision::GiveUp;
        }
        let Some(service) = self.services.get_mut(attempts.service.index()) else {
            return RetryDecision::GiveUp;
        };
        let untried = (service.owners.iter()).any(|o| !attempts.tried.contains(&o.entry));
        let longest = if refused {
            let in_transition = matches!(kind, ErrorKind::NoEndpoint | ErrorKind::Draining);
            match (attempts.redirects < MAX_REDIRECTS && untried, in_transition) {
                (true, _) => {
                    attempts.redirects += 1;
                    REDIRECT_JITTER
                }
                (false, true) if attempts.ownership_waits < MAX_WAITS => {
                    attempts.ownership_waits += 1;
                    attempts.tried.clear();
                    WAIT_JITTER
                }
                (false, _) => return RetryDecision::GiveUp,
            }
        } else {
            if attempts.retries >= MAX_RETRIES || !service.budget.withdraw() {
                return RetryDecision::GiveUp;
            }
            attempts.retries += 1;
            RETRY_JITTER * (1 << (attempts.retries - 1))
        };
        let longest = longest.min(remaining / 4);
        RetryDecision::Retry {
            delay: longest.mul_f64(self.rng.random()),
        }
    }

    pub(super) fn hedge_after(&self, attempts: &Attempts) -> Option<Duration> {
        if attempts.class != RequestClass::Read || attempts.hedged {
            return None;
        }
        match self.config.profile_of(attempts.service)?.hedging {
            Hedging::Off => None,
            Hedging::After { delay } => Some(delay),
        }
    }

    pub(super) fn decide_hedge(
        &mut self,
        now: Duration,
        attempts: &mut Attempts,
    ) -> Option<EntryId> {
        self.hedge_after(attempts)?;
        let service = self.services.get(attempts.service.index())?;
        if now >= attempts.deadline || service.pressure.share(now) > MAX_HEDGE_PRESSURE {
            return None;
        }
        let owner = self.pick(now, attempts, Quality::Good, false)?;
        if !self.services[attempts.service.index()].budget.withdraw() {
            return None;
        }
        attempts.hedged = true;
        self.sent(attempts, owner);
        Some(owner)
    }

    pub(super) fn draw_retry_after(&mut self, pressure: f64) -> Duration {
        let spread_s = 1.0 + (RETRY_AFTER_SPREAD_S - 1.0) * pressure;
        Duration::from_secs_f64(1.0 + spread_s * self.rng.random::<f64>())
    }
}

/// Whether another owner could answer differently.
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
