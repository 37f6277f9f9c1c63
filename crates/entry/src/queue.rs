//! Expiry of queued requests.

use crate::server_state::ServerState;
use std::sync::Arc;
use std::time::Duration;

/// Maximum interval between checks of a queue that is not empty.
const MAX_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Rejects queued requests whose time has run out, until the process exits.
pub(crate) async fn run(shared: Arc<ServerState>) {
    loop {
        shared.queue_notify.notified().await;
        loop {
            let next_check = shared.with_routing(|state, now| {
                let next_expiry_at = state.admission.next_expiry();
                let delay = next_expiry_at.map_or(MAX_CHECK_INTERVAL, |at| at.saturating_sub(now));
                (!state.waiters.is_empty()).then_some(delay)
            });
            let Ok(Some(delay)) = next_check else {
                break;
            };
            let delay = delay.clamp(Duration::from_millis(1), MAX_CHECK_INTERVAL);
            tokio::time::sleep(delay).await;
            let actions = shared.with_routing(|state, now| state.admission.expire(now));
            shared.run_actions(actions.unwrap_or_default());
        }
    }
}
