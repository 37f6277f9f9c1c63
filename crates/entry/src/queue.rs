//! Refusing queued requests in time.

use crate::server_state::ServerState;
use std::sync::Arc;
use std::time::Duration;

/// Longest time between two looks at a queue that is not empty.
const MAX_PAUSE: Duration = Duration::from_millis(20);

/// Looks after the queue until the process ends.
pub(crate) async fn run(shared: Arc<ServerState>) {
    loop {
        shared.queue_notify.notified().await;
        loop {
            let due = shared.with_routing(|d, now| {
                let until = d.admission.next_expiry();
                let pause = until.map_or(MAX_PAUSE, |at| at.saturating_sub(now));
                (!d.waiters.is_empty()).then_some(pause)
            });
            let Ok(Some(pause)) = due else {
                break;
            };
            let pause = pause.clamp(Duration::from_millis(1), MAX_PAUSE);
            tokio::time::sleep(pause).await;
            let actions = shared.with_routing(|d, now| d.admission.expire(now));
            shared.run_actions(actions.unwrap_or_default());
        }
    }
}
