//! Closes idle connections that are no longer usable.

use crate::connection_target::ConnectionTarget;
use crate::gateway::Gateway;
use std::rc::Rc;
use std::time::Duration;

/// Interval at which idle connections are checked. An endpoint that sends bytes without a request, or
/// has restarted, is noticed after half of it on average.
const CHECK_INTERVAL: Duration = Duration::from_millis(300);

/// Closes unusable idle connections and tells the dispatcher which endpoints may have restarted.
pub(crate) async fn check_idle_connections(gateway: Rc<Gateway>) {
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        for target in gateway.pool.close_unusable(gateway.now()) {
            match target {
                ConnectionTarget::Endpoint(endpoint) => gateway.record_idle_close(endpoint),
                ConnectionTarget::Entry(_) => {}
            }
        }
    }
}
