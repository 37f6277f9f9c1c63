//! Graceful stop.

use crate::gateway::{Gateway, Phase};
use mangospindle_telemetry::event;
use std::time::Duration;

/// Time before the kill at which the entry starts to refuse new requests. Most requests complete
/// within it.
const REFUSE_NEW_BEFORE_KILL: Duration = Duration::from_millis(1800);

/// Time before the kill at which the process exits even if requests are in progress.
const EXIT_BEFORE_KILL: Duration = Duration::from_millis(250);

/// Polling interval for requests in progress.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Delay before the exit that lets connections write their last responses.
const FLUSH_DELAY: Duration = Duration::from_millis(60);

/// Reports the entry as not ready and keeps serving while callers move to other entries, then
/// refuses new requests and completes those in progress.
pub(crate) async fn drain(gateway: &Gateway) {
    let stop_grace_period = gateway.settings.stop_grace_period;
    let started_at = gateway.now();
    event!(Info, "drain_started", "in_progress" => gateway.in_progress.len());
    gateway.phase.send_replace(Phase::NotReady);
    gateway.update_readiness();
    tokio::time::sleep(stop_grace_period.saturating_sub(REFUSE_NEW_BEFORE_KILL)).await;
    event!(Info, "drain_finishing", "in_progress" => gateway.in_progress.len());
    gateway.phase.send_replace(Phase::Finishing);
    let exit_at = started_at + stop_grace_period.saturating_sub(EXIT_BEFORE_KILL);
    while gateway.in_progress.len() > 0 && gateway.now() < exit_at {
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
    log_unfinished_requests(gateway, started_at);
    tokio::time::sleep(FLUSH_DELAY).await;
    event!(Info, "drain_ended", "in_progress" => gateway.in_progress.len());
}

/// Logs each request that the exit cuts, with the data that led to its acceptance.
fn log_unfinished_requests(gateway: &Gateway, drain_started_at: Duration) {
    let now = gateway.now();
    for request in gateway.in_progress.snapshot() {
        let arrived_before_drain = request.arrived_at < drain_started_at;
        event!(Warn, "request_unfinished", "request" => request.id, "route" => request.route,
            "before_drain" => arrived_before_drain,
            "drain_age_ms" => request.arrived_at.saturating_sub(drain_started_at).as_millis(),
            "age_ms" => now.saturating_sub(request.arrived_at).as_millis(),
            "time_left_ms" => request.deadline.saturating_sub(now).as_millis(),
            "sends" => request.sends, "endpoint" => request.endpoint,
            "sent_ms_ago" => now.saturating_sub(request.sent_at).as_millis(),
            "expected_ms" => request.expected_latency.as_millis());
    }
}
