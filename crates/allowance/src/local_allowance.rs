use crate::deployment_limit::{capacity, covers_next_requests, is_short};
use crate::offered_rate::OfferedRate;
use crate::{EntryUsage, WorkspaceTotal};
use mangospindle_model::Allowance;
use std::time::Duration;

/// Share of an allowance before the first reply of a replica. It is small, because all entries of a
/// deployment can start at once.
const INITIAL_SHARE: f64 = 0.001;

/// Weight of the even part in a share, relative to demand. An entry without demand so far can serve its
/// first requests.
const EVEN_FRACTION: f64 = 0.1;

/// Time since the last reply after which the share is no larger than an even part. Replicas forget the
/// demand of an entry that they do not hear of.
const SHARE_LIFETIME: Duration = Duration::from_secs(10);

/// Requests that an entry may admit without a token between two replies, at least: callers pipeline requests.
const MIN_BORROWABLE: f64 = 4.0;

/// Fraction of the level that an entry may borrow between two replies. Few entries see a rise of demand at
/// the same time, and the next reply reduces the share if more do.
const BORROWABLE_FRACTION: f64 = 0.2;

/// Time after which requests without an acknowledgement are no longer charged. The refill of the time without
/// replies is lost to the level, so that charging all of them at once would block the workspace.
const CHARGE_LIFETIME: Duration = Duration::from_secs(1);

/// Time for which a reduced refill is in force after the reply that reduced it.
const REDUCTION_LIFETIME: Duration = Duration::from_secs(1);

/// Lower bound of the factor on the refill that a `Retry-After` is computed with.
const MIN_EXPECTED_FACTOR: f64 = 0.2;

/// Longest `Retry-After`. Callers that would have to wait longer try again meanwhile anyway.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);

/// Shortest `Retry-After`.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(20);

/// What one entry may admit of the allowance of one workspace.
#[derive(Clone, Debug)]
pub(crate) struct LocalAllowance {
    limit: Allowance,
    /// Tokens that this entry keeps at most while the deployment has none, from 0 to 1; differs between entries.
    phase: f64,
    /// Share of the allowance that this entry may use, from 0 to 1.
    share: f64,
    /// Requests that can be admitted at once.
    tokens: f64,
    /// When `tokens` and `backlog` were last brought up to date.
    updated_at: Duration,
    /// Factor on the refill; below 1 while the whole deployment has admitted too much.
    refill_factor: f64,
    /// Requests that may still be admitted without a token until the next reply.
    borrowable: f64,
    /// Whether a request was admitted without a token since the last reply.
    has_borrowed: bool,
    /// Rejected requests that were told to return and whose turn has not come yet.
    backlog: f64,
    /// When the last reply with a level was applied.
    replied_at: Option<Duration>,
    /// Whether the workspace was not short in the last reply.
    has_room: bool,
    /// Time of the last reply that says or implies `has_room`.
    room_at: Option<Duration>,
    offered: OfferedRate,
    admitted: i64,
    acknowledged: i64,
    /// `admitted` at a time that is between one and two [`CHARGE_LIFETIME`]s old when it is replaced.
    admitted_before: (Duration, i64),
    rejected: u64,
    acknowledged_rejected: u64,
}

impl LocalAllowance {
    pub(crate) fn new(now: Duration, limit: Allowance, phase: f64) -> Self {
        let mut local = LocalAllowance {
            limit,
            phase,
            share: INITIAL_SHARE,
            tokens: 0.0,
            updated_at: now,
            refill_factor: 1.0,
            borrowable: MIN_BORROWABLE,
            has_borrowed: false,
            backlog: 0.0,
            replied_at: None,
            has_room: false,
            room_at: None,
            offered: OfferedRate::default(),
            admitted: 0,
            acknowledged: 0,
            admitted_before: (now, 0),
            rejected: 0,
            acknowledged_rejected: 0,
        };
        local.tokens = local.capacity();
        local
    }

    /// Changes the allowance. Tokens beyond a smaller one are lost.
    pub(crate) fn set_limit(&mut self, now: Duration, limit: Allowance) {
        self.advance(now, None);
        if limit.rate < self.limit.rate || limit.burst < self.limit.burst {
            self.borrowable = 0.0;
        }
        self.limit = limit;
        self.tokens = self.tokens.min(self.capacity());
    }

    /// Admits a request, or returns after which time it can be admitted.
    pub(crate) fn admit(&mut self, now: Duration, entries: Option<u32>) -> Result<(), Duration> {
        self.advance(now, entries);
        self.offered.record(now);
        match self {
            LocalAllowance { tokens, .. } if *tokens >= 1.0 => *tokens -= 1.0,
            LocalAllowance { borrowable, .. } if *borrowable >= 1.0 => {
                *borrowable -= 1.0;
                self.has_borrowed = true;
            }
            _ => {
                self.rejected += 1;
                return Err(self.retry_after());
            }
        }
        self.admitted += 1;
        Ok(())
    }

    /// Gives back an admitted request.
    pub(crate) fn refund(&mut self, now: Duration) {
        self.advance(now, None);
        self.admitted -= 1;
        self.tokens = (self.tokens + 1.0).min(self.capacity());
    }

    /// Whether a reply could change the decisions: there was none yet, or the share was too small while the
    /// deployment as a whole had room.
    pub(crate) fn share_may_be_outdated(&self) -> bool {
        self.replied_at.is_none() || (self.has_room && (self.has_borrowed || self.backlog > 0.0))
    }

    /// Whether there are requests that no replica has acknowledged.
    pub(crate) fn is_unreported(&self) -> bool {
        self.admitted != self.acknowledged || self.rejected != self.acknowledged_rejected
    }

    /// What to report; without the name of the workspace.
    pub(crate) fn usage(&self, now: Duration) -> EntryUsage {
        let acknowledged = match now >= self.updated_at + CHARGE_LIFETIME {
            true => self.admitted,
            false => self.acknowledged,
        };
        EntryUsage {
            workspace: String::new(),
            admitted: self.admitted,
            acknowledged,
            rejected: self.rejected,
            offered_rate: self.offered.per_second(now) as f32,
        }
    }

    /// Records that a replica has counted a report.
    pub(crate) fn acknowledge(&mut self, usage: &EntryUsage) {
        self.acknowledged = usage.admitted;
        self.acknowledged_rejected = usage.rejected;
    }

    /// Applies the totals of the deployment. `reported` is the offered rate that the total contains for this
    /// entry, if it was reported.
    pub(crate) fn apply_total(
        &mut self,
        now: Duration,
        reported: Option<f64>,
        total: &WorkspaceTotal,
        entries: u32,
    ) {
        let level = total.level.filter(|level| level.is_finite());
        let Some(level) = level.map(|level| f64::from(level).min(capacity(self.limit))) else {
            return;
        };
        self.advance(now, Some(entries));
        let own = reported.unwrap_or_else(|| self.offered.per_second(now));
        let total_rate = f64::from(total.offered_rate).max(own);
        let even_part = 1.0 / f64::from(entries);
        self.share = match total_rate > 0.0 {
            true => (own / total_rate + EVEN_FRACTION * even_part) / (1.0 + EVEN_FRACTION),
            false => even_part,
        };
        self.replied_at = Some(now);
        self.room_at = Some(now);
        self.refill_factor = (1.0 + level.min(0.0) / self.limit.rate).max(0.0);
        self.has_room = !is_short(self.limit, level, total_rate);
        self.has_borrowed = false;
        self.borrowable = match self.has_room {
            true => (level * BORROWABLE_FRACTION).max(MIN_BORROWABLE),
            false if covers_next_requests(level, total_rate) => 1.0,
            false => 0.0,
        };
        let usable = match self.has_room {
            true => self.capacity(),
            // All entries together keep no more tokens than the deployment has left, but each may collect
            // one. Otherwise an allowance with a burst below the number of entries would be blocked.
            false if level > 0.0 => self.capacity().min((level * self.share).max(1.0)),
            // Entries that all started over would collect their next token at the same time, after long.
            false => self.phase,
        };
        self.tokens = self.tokens.min(usable);
    }

    /// Applies a reply at `listed_at` that would contain the workspace if it was short.
    pub(crate) fn apply_omission(&mut self, listed_at: Duration) {
        if self.room_at.is_none_or(|at| at >= listed_at) {
            return;
        }
        self.room_at = Some(listed_at);
        self.has_room = true;
        self.refill_factor = 1.0;
        self.borrowable = MIN_BORROWABLE;
    }

    /// Most tokens that this entry keeps.
    fn capacity(&self) -> f64 {
        (self.limit.burst * self.share).max(1.0)
    }

    /// Tokens that this entry gets, per second.
    fn refill_rate(&self) -> f64 {
        self.limit.rate * self.share * self.refill_factor
    }

    /// Brings the tokens up to date, and the share if there was no reply for long.
    fn advance(&mut self, now: Duration, entries: Option<u32>) {
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        self.updated_at = self.updated_at.max(now);
        let refill = elapsed * self.refill_rate();
        self.tokens = (self.tokens + refill).min(self.capacity());
        self.backlog = (self.backlog - refill).max(0.0);
        self.expire_charges();
        if (self.replied_at).is_some_and(|at| now >= at + REDUCTION_LIFETIME) {
            self.refill_factor = 1.0;
        }
        let is_expired = |at: Option<Duration>| at.is_some_and(|at| now >= at + SHARE_LIFETIME);
        if let Some(entries) = entries.filter(|_| is_expired(self.replied_at)) {
            self.share = self.share.min(1.0 / f64::from(entries.max(1)));
        }
        if is_expired(self.room_at) {
            self.borrowable = 0.0;
        }
    }

    /// Counts requests as acknowledged that were admitted so long ago that they are no longer charged.
    fn expire_charges(&mut self) {
        let (at, admitted) = self.admitted_before;
        if self.updated_at >= at + CHARGE_LIFETIME {
            self.acknowledged = self.acknowledged.max(admitted);
            self.admitted_before = (self.updated_at, self.admitted);
        }
    }

    /// Time until a request that is rejected now can be admitted, behind those that were rejected before it.
    fn retry_after(&mut self) -> Duration {
        let factor = self.refill_factor.max(MIN_EXPECTED_FACTOR);
        let expected_rate = self.limit.rate * self.share * factor;
        // Callers that were told to return later than that try again earlier, or have given up.
        let max_backlog = expected_rate * MAX_RETRY_AFTER.as_secs_f64();
        self.backlog = (self.backlog + 1.0).min(max_backlog.max(1.0));
        let missing = (self.backlog - self.tokens).max(0.0);
        let delay = Duration::try_from_secs_f64(missing / expected_rate);
        (delay.unwrap_or(MAX_RETRY_AFTER)).clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
    }
}
