//! Serving a request: routing, sends and the final answer.

use crate::attempt::{Job, Sent, attempt};
use crate::gateway::Gateway;
use crate::inbound::Inbound;
use crate::protocol::RequestMetadata;
use crate::reply::Reply;
use mangospindle_dispatch::{EndpointKey, Refusal, RefusalReason, Request};
use mangospindle_model::{ErrorKind, Route};
use mangospindle_telemetry::event;
use std::rc::Rc;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// Time for a request whose caller and route set none.
const DEFAULT_TIME: Duration = Duration::from_secs(30);

/// Time before the end at which an answer of this entry leaves, so that it arrives in time.
const ANSWER_MARGIN: Duration = Duration::from_millis(5);

/// `Retry-After` of an entry that has no routes yet.
const NO_ROUTES_RETRY: Duration = Duration::from_millis(300);

/// Endpoints that may be found unreachable for one request, in addition to its sends.
const MAX_UNREACHABLE: usize = 4;

/// The sends of a request so far.
#[derive(Default)]
struct Progress {
    tried: Vec<EndpointKey>,
    sends: u32,
    unreachable: usize,
    /// Whether a send may have run.
    may_have_run: bool,
    /// The latest answer of an endpoint that failed.
    error: Option<Reply>,
}

/// Serves a request that arrived at `arrived`.
pub(crate) async fn forward(gateway: Rc<Gateway>, inbound: Inbound, arrived: Duration) -> Reply {
    let signals = gateway.protocol.request_metadata(&inbound.headers);
    let routes = gateway.routes();
    if routes.number == 0 {
        let wait = Some(NO_ROUTES_RETRY);
        return Reply::error(ErrorKind::NoEndpoint, "this entry has no routes yet", wait);
    }
    let found = routes.find(inbound.host_name(), inbound.path());
    let Some((key, route)) = found else {
        gateway.metrics.count_answer("404");
        event!(Info, "route_unknown", "request" => signals.id.unwrap_or_default(),
            "host" => inbound.host, "path" => inbound.path(), "routes" => routes.number);
        return Reply::error(ErrorKind::NotFound, "no route", None);
    };
    let Some(target) = gateway.next_target(key, route) else {
        return Reply::error(ErrorKind::NoEndpoint, "the route has no target", None);
    };
    let service = route.targets[target].service.as_str();
    let reply = serve(&gateway, &inbound, &signals, route, service, arrived).await;
    let took = gateway.now().saturating_sub(arrived);
    let status = reply.status.as_u16();
    let metrics = &gateway.metrics;
    metrics.answered(route.priority, &status.to_string(), took);
    let id = signals.id.as_deref().unwrap_or_default();
    if reply.status.is_server_error() {
        event!(Info, "request_failed", "request" => id, "status" => status,
            "route" => route.name, "service" => service, "routes" => routes.number,
            "took_ms" => took.as_millis());
    }
    reply
}

async fn serve(
    gateway: &Rc<Gateway>,
    inbound: &Inbound,
    signals: &RequestMetadata,
    route: &Route,
    service: &str,
    arrived: Duration,
) -> Reply {
    let time = [signals.deadline, route.timeout].into_iter().flatten();
    let time = time.min().unwrap_or(DEFAULT_TIME);
    let job = Job {
        inbound,
        id: signals.id.as_deref().unwrap_or_default(),
        idempotent: route.idempotent,
        deadline: (arrived + time).saturating_sub(ANSWER_MARGIN),
    };
    let object = signals.affinity_key.as_ref().map(|a| affinity(service, a));
    let mut progress = Progress::default();
    loop {
        let request = Request {
            service,
            affinity: object.filter(|_| route.sticky),
            idempotent: job.idempotent,
            priority: route.priority,
            time_left: job.deadline.saturating_sub(gateway.now()),
            target_latency: route.target_latency,
            home_regions: &route.home_regions,
            tried: &progress.tried,
            repeated: progress.sends > 0,
        };
        let choice = match gateway.choose(&request) {
            Ok(choice) => choice,
            Err(refusal) => return refused(gateway, &job, progress, refusal),
        };
        event!(Debug, "request_sent", "request" => job.id, "endpoint" => choice.instance,
            "service" => service, "expected_ms" => choice.expected.as_millis(),
            "remote" => choice.remote, "sends" => progress.sends);
        (gateway.metrics).count_send(service, &choice, progress.sends > 0);
        let sent_at = gateway.now();
        let sent = attempt(gateway, &job, &choice).await;
        gateway.metrics.count_result(service, sent.as_str());
        event!(Debug, "request_ended", "request" => job.id, "endpoint" => choice.instance,
            "result" => sent.as_str(), "object" => signals.affinity_key.as_deref().unwrap_or_default(),
            "took_ms" => gateway.now().saturating_sub(sent_at).as_millis());
        progress.tried.push(choice.ticket.endpoint);
        let may_repeat = job.idempotent && progress.sends + 1 < route.attempts;
        match sent {
            Sent::Answer(reply) => return reply,
            Sent::Error(reply) => {
                progress.may_have_run = true;
                if !may_repeat {
                    return reply;
                }
                progress.error = Some(reply);
            }
            Sent::Rejected if progress.sends + 1 >= route.attempts => {
                return gave_up(&job, progress, gateway);
            }
            Sent::Rejected => {}
            Sent::Unreachable => {
                progress.unreachable += 1;
                if progress.unreachable > MAX_UNREACHABLE {
                    return gave_up(&job, progress, gateway);
                }
                continue;
            }
            Sent::Failed(e) => {
                progress.may_have_run = true;
                event!(Info, "endpoint_failed", "request" => job.id,
                    "endpoint" => choice.instance, "error" => e);
                if !may_repeat {
                    return gave_up(&job, progress, gateway);
                }
            }
            Sent::TimedOut => {
                event!(Info, "endpoint_late", "request" => job.id,
                    "endpoint" => choice.instance,
                    "expected_ms" => choice.expected.as_millis());
                return Reply::error(ErrorKind::DeadlineExceeded, "no answer in time", None);
            }
        }
        progress.sends += 1;
    }
}

/// The answer to a request that no endpoint may get.
fn refused(gateway: &Gateway, job: &Job<'_>, progress: Progress, refusal: Refusal) -> Reply {
    let reason = refusal.reason;
    gateway
        .metrics
        .refusals
        .with_label_values(&[reason.as_str()])
        .inc();
    event!(Info, "request_refused", "request" => job.id, "reason" => reason.as_str(),
        "sends" => progress.sends, "may_have_run" => progress.may_have_run,
        "retry_after_ms" => refusal.retry_after.as_millis());
    if let Some(reply) = progress.error {
        return reply;
    }
    let kind = match (progress.may_have_run, reason) {
        (true, _) => ErrorKind::UpstreamFailed,
        (false, RefusalReason::NoEndpoint) => ErrorKind::NoEndpoint,
        (false, RefusalReason::TooLate | RefusalReason::NoRetryBudget) => ErrorKind::NoCapacity,
    };
    Reply::error(kind, reason.as_str(), Some(refusal.retry_after))
}

/// The answer after the last send.
fn gave_up(job: &Job<'_>, progress: Progress, gateway: &Gateway) -> Reply {
    match progress {
        Progress {
            error: Some(reply), ..
        } => reply,
        Progress {
            may_have_run: true, ..
        } => Reply::error(ErrorKind::UpstreamFailed, "the endpoint failed", None),
        Progress { .. } => {
            let left = job.deadline.saturating_sub(gateway.now());
            let wait = gateway.retry_after(left);
            Reply::error(ErrorKind::NoCapacity, "all endpoints are full", Some(wait))
        }
    }
}

/// Objects of different services are different objects.
fn affinity(service: &str, object: &str) -> u64 {
    xxh3_64(format!("{service}\n{object}").as_bytes())
}
