//! The graceful stop.

use crate::gateway::{Gateway, Phase};
use mangospindle_telemetry::event;
use std::time::Duration;

/// Time before the kill at which new requests are refused. Longer than most requests take.
const FINISH_BEFORE_KILL: Duration = Duration::from_millis(1800);

/// Time before the kill at which the process exits in any case.
const EXIT_BEFORE_KILL: Duration = Duration::from_millis(250);

/// Interval between checks for requests in progress.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Time for answers that were handed to connections.
const FLUSH_TIME: Duration = Duration::from_millis(60);

/// Leaves the answers to callers that ask where to connect, serves on while they still come, then
/// finishes the requests in progress.
pub(crate) async fn drain(gateway: &Gateway) {
    let stop_grace_period = gateway.settings.stop_grace_period;
    let started = gateway.now();
    event!(Info, "drain_started", "in_progress" => gateway.in_progress.get());
    gateway.phase.send_replace(Phase::Leaving);
    gateway.update_readiness();
    tokio::time::sleep(stop_grace_period.saturating_sub(FINISH_BEFORE_KILL)).await;
    event!(Info, "drain_finishing", "in_progress" => gateway.in_progress.get());
    gateway.phase.send_replace(Phase::Finishing);
    let exit_at = started + stop_grace_period.saturating_sub(EXIT_BEFORE_KILL);
    while gateway.in_progress.get() > 0 && gateway.now() < exit_at {
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
    tokio::time::sleep(FLUSH_TIME).await;
    event!(Info, "drain_ended", "in_progress" => gateway.in_progress.get());
}
