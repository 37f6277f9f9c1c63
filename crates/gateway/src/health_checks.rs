//! Health checks of ejected endpoints, so that a service without idempotent requests recovers, and of
//! endpoints that may have restarted, to learn whether they are cold.

use crate::attempt::drain_body;
use crate::connect::{CONNECT_TIMEOUT, ConnectError, connect, open};
use crate::connection_target::ConnectionTarget;
use crate::gateway::Gateway;
use actix_web::http::header::HeaderMap;
use actix_web::http::{Method, StatusCode};
use mangospindle_client::{BodyFraming, Exchange, ExpectedId, Lease, RequestHead, RequestWriter};
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

fn log_report(check: &HealthCheck, report: HealthReport) {
    match report {
        HealthReport::Answered { healthy, cold_for } => {
            event!(Debug, "endpoint_checked", "endpoint" => check.instance, "healthy" => healthy,
                "cold_ms" => cold_for.map_or(String::new(), |d| d.as_millis().to_string()));
        }
        HealthReport::Rejected { .. } | HealthReport::Unanswered => {
            event!(Debug, "endpoint_check_failed", "endpoint" => check.instance,
                "reason" => format!("{report:?}"));
        }
    }
}

/// Sends a health check and returns what the expected instance reports.
async fn check_health(gateway: &Gateway, check: &HealthCheck) -> HealthReport {
    let Ok(lease) = lease(gateway, check).await else {
        return HealthReport::Unanswered;
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
        return HealthReport::Unanswered;
    };
    let mut exchange = Exchange::new(lease, Method::GET, writer, ExpectedId::Absent);
    let Ok(head) = exchange.send_request(&*gateway.clock).await else {
        return HealthReport::Unanswered;
    };
    (gateway.paths.borrow_mut()).record_response(gateway.now());
    drain_body(exchange).await;
    let metadata = gateway.protocol.response_metadata(&head);
    match gateway.protocol.health_instance(&head) {
        _ if metadata.misdirected => HealthReport::Unanswered,
        _ if metadata.not_run => HealthReport::Rejected {
            load: metadata.load,
        },
        // Only a rejection may leave out the instance, so this is not the response to a health check.
        None if head.status == StatusCode::OK => HealthReport::Unanswered,
        Some(instance) if instance != check.instance => HealthReport::Unanswered,
        _ => HealthReport::Answered {
            healthy: head.status == StatusCode::OK,
            cold_for: gateway.protocol.health_cold_for(&head),
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
