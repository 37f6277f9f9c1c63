//! The graceful stop of the process.

use crate::drain_state::DrainPhase;
use crate::lookup::LOOKUP_TTL;
use crate::persist::persist;
use crate::server_state::ServerState;
use mangospindle_state::{CommandKind, RequestId};
use mangospindle_telemetry::event;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Time between two looks at what is left.
const INTERVAL: Duration = Duration::from_millis(50);

/// Time between two reports of progress.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Time after the longest deadline by which everything must be over.
const GRACE: Duration = Duration::from_secs(5);

/// Longest wait for the control replicas when nothing else is left. Covers a change of the leader;
/// an entry that is cut off does not wait for the end of the partition.
const CONTROL_GRACE: Duration = Duration::from_secs(10);

/// What is left to do before the process can end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Left {
    requests: i64,
    slots: i64,
    commands: usize,
    endpoints: usize,
}

/// Leaves the lookup lists, serves for their lifetime, releases the endpoints and waits for the
/// requests in progress.
pub(crate) async fn drain(shared: &Arc<ServerState>) {
    let since = shared.now();
    shared.drain.set(DrainPhase::LeavingLists { since });
    event!(Info, "drain_started", "requests" => shared.metrics.in_progress.get());
    if let Some(entry) = shared.entry_id() {
        let shared = Arc::clone(shared);
        actix_rt::spawn(async move {
            let command = CommandKind::EntryLeave {
                entry,
                incarnation: shared.incarnation,
            };
            let name = format!("{}/{:016x}/leave", shared.settings.name, shared.incarnation);
            let outcome = persist(&shared, command, RequestId(name)).await;
            event!(Info, "entry_leave_result", "outcome" => format!("{outcome:?}"));
        });
    }
    let longest = longest_deadline(shared);
    wait(shared, since + LOOKUP_TTL, |_, _| false).await;
    // Requests that other entries have sent here are still served; their owners change one by one.
    let control_limit = since + LOOKUP_TTL + CONTROL_GRACE;
    let limit = since + LOOKUP_TTL + longest + GRACE;
    wait(shared, limit, |left, now| {
        left.endpoints == 0 || (left.slots == 0 && now >= control_limit)
    })
    .await;
    shared.drain.set(DrainPhase::Finishing { since });
    event!(Info, "drain_finishing", "requests" => shared.metrics.in_progress.get());
    let control_limit = shared.now() + CONTROL_GRACE;
    let limit = shared.now() + longest + GRACE;
    let left = wait(shared, limit, |left, now| {
        left.requests == 0 && (left.commands == 0 || now >= control_limit)
    })
    .await;
    let time = shared.now().saturating_sub(since);
    event!(Info, "drain_ended", "drain_ms" => time.as_millis(), "requests_left" => left.requests,
        "commands_left" => left.commands, "endpoints_left" => left.endpoints);
}

/// Waits until `done` holds or the time has come, and reports progress.
async fn wait<F>(shared: &Arc<ServerState>, until: Duration, done: F) -> Left
where
    F: Fn(&Left, Duration) -> bool,
{
    let mut reported = shared.now();
    loop {
        let left = left(shared);
        let now = shared.now();
        if done(&left, now) || now >= until {
            return left;
        }
        if now.saturating_sub(reported) >= REPORT_INTERVAL {
            reported = now;
            event!(Info, "drain_progress", "phase" => shared.drain.phase().as_str(),
                "requests" => left.requests, "commands" => left.commands,
                "endpoints" => left.endpoints);
        }
        tokio::time::sleep(INTERVAL).await;
    }
}

fn left(shared: &ServerState) -> Left {
    let endpoints = shared.with_routing(|d, _| {
        (d.config.ownership.iter())
            .filter(|o| o.owner == Some(d.entry))
            .count()
    });
    Left {
        requests: shared.metrics.in_progress.get(),
        slots: shared.metrics.slots_in_use.get(),
        commands: shared.pending_commands.load(Ordering::Relaxed),
        endpoints: endpoints.unwrap_or(0),
    }
}

fn longest_deadline(shared: &ServerState) -> Duration {
    let longest = shared.with_routing(|d, _| {
        let services = d.config.topology.services.iter();
        services.map(|s| s.max_deadline).max()
    });
    longest.ok().flatten().unwrap_or_default()
}
