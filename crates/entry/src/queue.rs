//! Refusing queued requests in time.

use crate::shared::Shared;
use std::sync::Arc;
use std::time::Duration;

/// Longest time between two looks at a queue that is not empty.
const MAX_PAUSE: Duration = Duration::from_millis(20);

/// Looks after the queue until the process ends.
pub(crate) async fn run(shared: Arc<Shared>) {
    loop {
        shared.queued.notified().await;
        loop {
            let due = shared.decide(|d, now| {
                let until = d.admission.next_expiry();
                let pause = until.map_or(MAX_PAUSE, |at| at.saturating_sub(now));
                (!d.waiting.is_empty()).then_some(pause)
            });
            let Ok(Some(pause)) = due else {
                break;
            };
            let pause = pause.clamp(Duration::from_millis(1), MAX_PAUSE);
            tokio::time::sleep(pause).await;
            let actions = shared.decide(|d, now| d.admission.expire(now));
            shared.run_actions(actions.unwrap_or_default());
        }
    }
}
