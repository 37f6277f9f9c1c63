//! Health checks of ejected endpoints, so that a service without idempotent requests recovers, and of
//! endpoints that may have restarted, to learn whether they are cold.

use crate::attempt::drain_body;
use crate::connect::{CONNECT_TIMEOUT, ConnectError, connect, open};
use crate::connection_target::ConnectionTarget;
use crate::gateway::Gateway;
use actix_web::http::header::HeaderMap;
use actix_web::http::{Method, StatusCode};
use mangospindle_client::{
    BodyFraming, Exchange, ExpectedId, Lease, RequestHead, RequestWriter, ResponseHead,
};
use mangospindle_dispatch::{HealthCheck, HealthReport};
use mangospindle_telemetry::event;
use std::rc::Rc;
use std::time::Duration;

/// Interval at which wanted health checks are collected.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Time limit of a health check, which waits for a slot of the endpoint like a request.
const CHECK_TIMEOUT: Duration = Duration::from_secs(1);

/// Sends the health checks that the dispatcher wants.
pub(crate) async fn run_health_checks(gateway: Rc<Gateway>) {
    loop {
        let wanted = gateway.check_health_now.notified();
        // A request that waits for the check is not delayed by the interval.
        let _ = tokio::time::timeout(CHECK_INTERVAL, wanted).await;
        for check in gateway.take_health_checks() {
            let gateway = Rc::clone(&gateway);
            tokio::task::spawn_local(async move {
                let checking = tokio::time::timeout(CHECK_TIMEOUT, check_health(&gateway, &check));
                let report = checking.await.unwrap_or(HealthReport::Unanswered);
                log_report(&check, report);
                gateway.record_health_check(check.endpoint, report);
            });
        }
    }
}

pub(crate) fn log_report(check: &HealthCheck, report: HealthReport) {
    match report {
        HealthReport::Answered { healthy, cold_for } => {
            event!(Debug, "endpoint_checked", "endpoint" => check.instance, "healthy" => healthy,
                "cold_ms" => cold_for.map_or(String::new(), |d| d.as_millis().to_string()));
        }
        HealthReport::Rejected { .. } | HealthReport::Misdirected | HealthReport::Unanswered => {
            event!(Debug, "endpoint_check_failed", "endpoint" => check.instance,
                "reason" => format!("{report:?}"));
        }
    }
}

/// Sends a health check over a connection from the pool, or a new one, and returns what the expected
/// instance reports.
async fn check_health(gateway: &Gateway, check: &HealthCheck) -> HealthReport {
    let Ok(lease) = lease(gateway, check).await else {
        return HealthReport::Unanswered;
    };
    let (report, lease) = check_on(gateway, check, lease, CHECK_TIMEOUT).await;
    if let Some(lease) = lease {
        lease.release();
    }
    report
}

/// Sends a health check over a connection. It may wait for a slot of the endpoint for `max_wait`. Also
/// returns the connection, if a request with an id may follow: a second copy of a successful response without
/// an id is not taken for the response to that.
pub(crate) async fn check_on(
    gateway: &Gateway,
    check: &HealthCheck,
    lease: Lease<ConnectionTarget>,
    max_wait: Duration,
) -> (HealthReport, Option<Lease<ConnectionTarget>>) {
    let mut headers = HeaderMap::new();
    (gateway.protocol).set_request_headers(&mut headers, &check.instance, max_wait);
    let head = RequestHead {
        method: Method::GET,
        path: check.path.clone(),
        headers,
    };
    let host = check.address.to_string();
    let Ok(writer) = RequestWriter::new(head, &host, BodyFraming::None, None) else {
        return (HealthReport::Unanswered, None);
    };
    let mut exchange =
        Exchange::new(lease, Method::GET, writer, ExpectedId::Absent).keep_connection();
    let Ok(head) = exchange.send_request(&*gateway.clock).await else {
        return (HealthReport::Unanswered, None);
    };
    (gateway.paths.borrow_mut()).record_response(gateway.now());
    let drained = drain_body(exchange).await;
    let report = report(gateway, check, &head, drained.is_ok());
    let lease = drained.ok().flatten();
    (report, lease.filter(|_| head.status == StatusCode::OK))
}

/// What the response to a health check says. One whose body is truncated does not show that the endpoint is healthy.
fn report(
    gateway: &Gateway,
    check: &HealthCheck,
    head: &ResponseHead,
    has_valid_body: bool,
) -> HealthReport {
    let metadata = gateway.protocol.response_metadata(head);
    if !metadata.misdirected {
        gateway.record_check_notices(check.endpoint, metadata.notices);
    }
    match gateway.protocol.health_instance(head) {
        _ if metadata.misdirected => HealthReport::Misdirected,
        _ if metadata.not_run => HealthReport::Rejected {
            load: metadata.load,
        },
        // Only a rejection may leave out the instance, so this is not the response to a health check.
        None => HealthReport::Unanswered,
        Some(instance) if instance != check.instance => HealthReport::Unanswered,
        _ => HealthReport::Answered {
            healthy: head.status == StatusCode::OK && has_valid_body,
            cold_for: gateway.protocol.health_cold_for(head),
        },
    }
}

/// Returns a connection for a health check, a new one if the pooled ones were closed.
async fn lease(
    gateway: &Gateway,
    check: &HealthCheck,
) -> Result<Lease<ConnectionTarget>, ConnectError> {
    let pooled = connect(gateway, check.endpoint, check.address, false, CHECK_TIMEOUT).await;
    match pooled {
        Err(ConnectError::ClosedWhileIdle) => {
            Ok(open(gateway, check.endpoint, check.address, CONNECT_TIMEOUT).await?)
        }
        pooled => pooled,
    }
}
