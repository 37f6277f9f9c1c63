//! Health checks of ejected endpoints, so that a service without idempotent requests recovers.

use crate::connect::connect;
use crate::gateway::Gateway;
use actix_web::http::header::HeaderMap;
use actix_web::http::{Method, StatusCode};
use mangospindle_client::{BodyFraming, Exchange, RequestHead, RequestWriter};
use mangospindle_dispatch::HealthCheck;
use std::rc::Rc;
use std::time::Duration;

/// Interval at which wanted health checks are collected.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Time limit of a health check, which waits for a slot of the endpoint like a request.
const CHECK_TIMEOUT: Duration = Duration::from_secs(1);

/// Sends the health checks that the dispatcher wants.
pub(crate) async fn run_health_checks(gateway: Rc<Gateway>) {
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        for check in gateway.take_health_checks() {
            let gateway = Rc::clone(&gateway);
            tokio::task::spawn_local(async move {
                let passes = tokio::time::timeout(CHECK_TIMEOUT, passes(&gateway, &check));
                let passed = passes.await.unwrap_or(false);
                log::debug!("health check of {}: {passed}", check.instance);
                gateway.record_health_check(check.endpoint, passed);
            });
        }
    }
}

/// Sends a health check. Returns whether the expected instance reports that it is healthy.
async fn passes(gateway: &Gateway, check: &HealthCheck) -> bool {
    let connected = connect(gateway, check.endpoint, check.address, false, CHECK_TIMEOUT);
    let Ok(lease) = connected.await else {
        return false;
    };
    let mut headers = HeaderMap::new();
    (gateway.protocol).set_request_headers(&mut headers, &check.instance, CHECK_TIMEOUT);
    let head = RequestHead {
        method: Method::GET,
        path: check.path.clone(),
        headers,
    };
    let host = check.address.to_string();
    let Ok(writer) = RequestWriter::new(head, &host, BodyFraming::None, None) else {
        return false;
    };
    let mut exchange = Exchange::new(lease, Method::GET, writer);
    let head = exchange.send_request(&*gateway.clock).await;
    matches!(head, Ok(head) if head.status == StatusCode::OK)
}
