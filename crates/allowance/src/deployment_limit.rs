//! The limit that holds for a workspace over all entries together.

use mangospindle_model::Allowance;
use std::time::Duration;

/// Requests beyond the burst that a workspace may send at once. Callers pipeline requests, and the burst of a
/// small allowance is less than what two of them send.
const BATCH_TOLERANCE: f64 = 8.0;

/// Fraction of the capacity below which a workspace is short.
const SHORT_LEVEL_FRACTION: f64 = 0.5;

/// Standard deviations by which the offered rate may exceed the rate before the workspace is short. Requests
/// arrive in batches, so that the estimate varies more than that of single arrivals.
const SHORT_RATE_DEVIATIONS: f64 = 4.0;

/// Time until the requests that an entry admits are in the level that others are told: an interval of
/// reports and the delay of the messages.
const LEVEL_DELAY: Duration = Duration::from_millis(350);

/// Most requests that all entries together may admit at once.
pub(crate) fn capacity(limit: Allowance) -> f64 {
    limit.burst + BATCH_TOLERANCE
}

/// Whether a workspace comes close to its allowance, so that entries admit on their shares alone.
pub(crate) fn is_short(limit: Allowance, level: f64, offered_rate: f64) -> bool {
    // Variance of an exponentially weighted rate with a time constant of one second.
    let deviation = (limit.rate / 2.0).sqrt();
    level < SHORT_LEVEL_FRACTION * capacity(limit)
        || offered_rate > limit.rate + SHORT_RATE_DEVIATIONS * deviation
}

/// Whether the level covers all requests that arrive before entries are told of the next one, so that entries
/// without a token may admit a request. The tokens of a small allowance are spread over many entries, and few
/// of them hold a whole one.
pub(crate) fn covers_next_requests(level: f64, offered_rate: f64) -> bool {
    level >= 1.0 + offered_rate * LEVEL_DELAY.as_secs_f64()
}
