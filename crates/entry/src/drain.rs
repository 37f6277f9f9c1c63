//! Graceful shutdown of the process.

use crate::drain_state::DrainPhase;
use crate::lookup::LOOKUP_TTL;
use crate::propose_with_retry::propose_with_retry;
use crate::server_state::ServerState;
use mangospindle_state::{CommandKind, RequestId};
use mangospindle_telemetry::event;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Time between two checks of the remaining work.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Time between two log events about the progress.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Time after the longest deadline at which the process stops waiting.
const DEADLINE_GRACE: Duration = Duration::from_secs(5);

/// Timeout for the control replicas when no other work remains. It is long enough for a leader
/// election, but an isolated entry does not wait until the partition heals.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(10);

/// Work to finish before the process can exit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct RemainingWork {
    requests: i64,
    slots: i64,
    commands: usize,
    endpoints: usize,
}

/// Removes the entry from lookup responses, serves until cached responses have expired, releases
/// the endpoints and waits for the requests in progress.
pub(crate) async fn drain(shared: &Arc<ServerState>) {
    let since = shared.now();
    shared.drain.set(DrainPhase::LeavingLists { since });
    event!(Info, "drain_started", "requests" => shared.metrics.requests_in_progress.get());
    if let Some(entry) = shared.entry_id() {
        let shared = Arc::clone(shared);
        actix_rt::spawn(async move {
            let command = CommandKind::EntryLeave {
                entry,
                incarnation: shared.incarnation,
            };
            let name = format!("{}/{:016x}/leave", shared.settings.name, shared.incarnation);
            let outcome = propose_with_retry(&shared, command, RequestId(name)).await;
            event!(Info, "entry_leave_result", "outcome" => format!("{outcome:?}"));
        });
    }
    let longest_deadline = max_service_deadline(shared);
    wait_until(shared, since + LOOKUP_TTL, |_, _| false).await;
    // Requests forwarded by other entries are still served while the endpoints change their owners
    // one by one.
    let control_limit = since + LOOKUP_TTL + CONTROL_TIMEOUT;
    let limit = since + LOOKUP_TTL + longest_deadline + DEADLINE_GRACE;
    wait_until(shared, limit, |remaining, now| {
        remaining.endpoints == 0 || (remaining.slots == 0 && now >= control_limit)
    })
    .await;
    shared.drain.set(DrainPhase::Finishing { since });
    event!(Info, "drain_finishing", "requests" => shared.metrics.requests_in_progress.get());
    let control_limit = shared.now() + CONTROL_TIMEOUT;
    let limit = shared.now() + longest_deadline + DEADLINE_GRACE;
    let remaining = wait_until(shared, limit, |remaining, now| {
        remaining.requests == 0 && (remaining.commands == 0 || now >= control_limit)
    })
    .await;
    let elapsed = shared.now().saturating_sub(since);
    event!(Info, "drain_ended", "drain_ms" => elapsed.as_millis(),
        "requests_left" => remaining.requests, "commands_left" => remaining.commands,
        "endpoints_left" => remaining.endpoints);
}

/// Waits until `done` holds or the local clock reaches `until`, and logs the progress.
async fn wait_until<F>(shared: &Arc<ServerState>, until: Duration, done: F) -> RemainingWork
where
    F: Fn(&RemainingWork, Duration) -> bool,
{
    let mut last_report = shared.now();
    loop {
        let remaining = remaining_work(shared);
        let now = shared.now();
        if done(&remaining, now) || now >= until {
            return remaining;
        }
        if now.saturating_sub(last_report) >= REPORT_INTERVAL {
            last_report = now;
            event!(Info, "drain_progress", "phase" => shared.drain.phase().as_str(),
                "requests" => remaining.requests, "commands" => remaining.commands,
                "endpoints" => remaining.endpoints);
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

fn remaining_work(shared: &ServerState) -> RemainingWork {
    let endpoints = shared.with_routing(|state, _| {
        (state.config.ownership.iter())
            .filter(|o| o.owner == Some(state.entry))
            .count()
    });
    RemainingWork {
        requests: shared.metrics.requests_in_progress.get(),
        slots: shared.metrics.slots_in_use.get(),
        commands: shared.pending_commands.load(Ordering::Relaxed),
        endpoints: endpoints.unwrap_or(0),
    }
}

fn max_service_deadline(shared: &ServerState) -> Duration {
    let longest_deadline = shared.with_routing(|state, _| {
        let services = state.config.topology.services.iter();
        services.map(|s| s.max_deadline).max()
    });
    longest_deadline.ok().flatten().unwrap_or_default()
}
