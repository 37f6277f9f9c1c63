//! Graceful stop.

use crate::gateway::{Gateway, Phase};
use mangospindle_dispatch::StopSchedule;
use mangospindle_telemetry::event;
use std::time::Duration;

/// Polling interval for requests in progress.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Delay before the exit that lets connections write their last responses.
const FLUSH_DELAY: Duration = Duration::from_millis(60);

/// Reports the entry as not ready and keeps serving while callers move to other entries, then
/// refuses new requests and completes those in progress.
pub(crate) async fn drain(gateway: &Gateway) {
    let started_at = gateway.now();
    let schedule = StopSchedule::new(started_at, gateway.settings.stop_grace_period);
    event!(Info, "drain_started", "in_progress" => gateway.in_progress.len());
    gateway.stop_schedule.set(Some(schedule));
    gateway.phase.send_replace(Phase::NotReady);
    gateway.update_readiness();
    tokio::time::sleep(schedule.refuse_new_at().saturating_sub(gateway.now())).await;
    event!(Info, "drain_finishing", "in_progress" => gateway.in_progress.len());
    gateway.phase.send_replace(Phase::Finishing);
    while gateway.in_progress.len() > 0 && gateway.now() < schedule.exit_at() {
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
    let unfinished = gateway.in_progress.len();
    log_unfinished_requests(gateway, started_at);
    gateway.phase.send_replace(Phase::Exiting);
    tokio::time::sleep(FLUSH_DELAY).await;
    event!(Info, "drain_ended", "in_progress" => unfinished);
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
