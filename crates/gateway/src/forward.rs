//! Serving a request: routing, attempts and the final response.

use crate::access::{check_access, refund};
use crate::attempt::{AttemptContext, AttemptResult, attempt};
use crate::gateway::Gateway;
use crate::inbound_request::InboundRequest;
use crate::origin::Origin;
use crate::protocol::RequestMetadata;
use crate::relay::{mark_not_run, mark_not_sent, relay};
use crate::requests_in_progress::RequestKey;
use crate::response::Response;
use mangospindle_dispatch::{EndpointKey, Refusal, RefusalReason, Request};
use mangospindle_model::{ErrorKind, Route};
use mangospindle_telemetry::event;
use std::rc::Rc;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// Time limit of a request if neither its caller nor its route sets one.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);

/// Margin before the caller's deadline, so that a response of this entry arrives in time.
const RESPONSE_MARGIN: Duration = Duration::from_millis(5);

/// `Retry-After` while the entry has no routes yet.
const NO_ROUTES_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Maximum number of unreachable endpoints that one request may try, in addition to its sends.
const MAX_UNREACHABLE_ENDPOINTS: usize = 4;

/// Maximum number of endpoints that one request may try whose checks failed or found them cold. Most endpoints of
/// a service can restart at once.
const MAX_UNCHECKED_ENDPOINTS: usize = 6;

/// Number of unreachable endpoints after which a request is relayed to another entry.
const UNREACHABLE_BEFORE_RELAY: usize = 2;

/// The attempts of a request so far.
#[derive(Default)]
struct SendHistory {
    /// Endpoints that were tried, including unreachable ones.
    tried: Vec<EndpointKey>,
    /// Attempts that reached an endpoint.
    sends: u32,
    /// Attempts that did not reach an endpoint.
    unreachable: usize,
    /// Attempts that ended at the check of a new connection.
    unchecked: usize,
    /// Whether an endpoint may have run the request.
    may_have_run: bool,
    /// Whether the request was offered to other entries.
    relayed: bool,
    /// The latest server error that an endpoint returned.
    last_error: Option<Response>,
}

/// Serves a request that arrived at `arrived_at` on the local clock.
pub(crate) async fn forward(
    gateway: Rc<Gateway>,
    mut inbound: InboundRequest,
    origin: Origin,
    arrived_at: Duration,
    progress: RequestKey,
) -> Response {
    let metadata = gateway.protocol.request_metadata(&inbound.headers);
    let routes = gateway.routes();
    if !routes.is_set() {
        let delay = Some(NO_ROUTES_RETRY_AFTER);
        return Response::error(ErrorKind::NoEndpoint, "this entry has no routes yet", delay);
    }
    let found = routes.find(inbound.host_name(), inbound.path());
    let Some((key, route)) = found else {
        gateway.metrics.count_response("404");
        event!(Info, "route_unknown", "request" => metadata.id.unwrap_or_default(),
            "host" => inbound.host, "path" => inbound.path(), "routes" => routes.number);
        return Response::error(ErrorKind::NotFound, "no route", None);
    };
    let id = metadata.id.as_deref().unwrap_or_default();
    let access = match check_access(&gateway, &mut inbound, id, origin, &routes, (key, route)) {
        Ok(access) => access,
        Err(mut response) => {
            if origin == Origin::Entry {
                mark_not_run(&mut response, true);
            }
            return response;
        }
    };
    let Some(target) = gateway.next_target(key, route) else {
        let response = Response::error(ErrorKind::NoEndpoint, "the route has no target", None);
        refund(&gateway, &access, &response);
        return response;
    };
    let service = route.targets[target].service.as_str();
    let context = AttemptContext {
        inbound: &inbound,
        id,
        idempotent: route.idempotent,
        origin,
        access: &access,
        deadline: request_deadline(&metadata, route, arrived_at),
        progress,
    };
    gateway.in_progress.update(progress, |p| {
        p.id = context.id.to_string();
        p.route = route.name.clone();
        p.deadline = context.deadline;
    });
    let mut response = serve(&gateway, &context, &metadata, route, service).await;
    refund(&gateway, &access, &response);
    if origin == Origin::Entry {
        mark_not_sent(&mut response, gateway.paths_lost());
        mark_not_run(&mut response, access.workspace.is_some());
    }
    let elapsed = gateway.now().saturating_sub(arrived_at);
    let status = response.status.as_u16();
    let metrics = &gateway.metrics;
    metrics.observe_response(route.priority, &status.to_string(), elapsed);
    if response.status.is_server_error() {
        event!(Info, "request_failed", "request" => id, "status" => status,
            "route" => route.name, "service" => service, "routes" => routes.number,
            "took_ms" => elapsed.as_millis());
    }
    response
}

/// When the response to a request has to be complete, on the local clock.
fn request_deadline(metadata: &RequestMetadata, route: &Route, arrived_at: Duration) -> Duration {
    let time_limit = [metadata.deadline, route.timeout].into_iter().flatten();
    let time_limit = time_limit.min().unwrap_or(DEFAULT_TIMEOUT);
    (arrived_at + time_limit).saturating_sub(RESPONSE_MARGIN)
}

/// Sends a request to endpoints of `service` until one responds or no further attempt is allowed.
async fn serve(
    gateway: &Rc<Gateway>,
    context: &AttemptContext<'_>,
    metadata: &RequestMetadata,
    route: &Route,
    service: &str,
) -> Response {
    let affinity_hash = metadata
        .affinity_key
        .as_ref()
        .map(|k| hash_affinity_key(service, k));
    let mut history = SendHistory::default();
    loop {
        if history.unreachable >= UNREACHABLE_BEFORE_RELAY || gateway.paths_lost() {
            let relayed = relay_once(gateway, context, &mut history, service).await;
            if let Some(response) = relayed {
                return response;
            }
            if gateway.paths_lost() && (context.origin == Origin::Entry || history.unreachable > 0)
            {
                let refusal = Refusal {
                    reason: RefusalReason::NoEndpoint,
                    retry_after: gateway.retry_after(gateway.time_left(context)),
                };
                return refusal_response(gateway, context, history, refusal);
            }
        }
        let request = Request {
            service,
            affinity: affinity_hash.filter(|_| route.sticky),
            idempotent: context.idempotent,
            priority: route.priority,
            workspace_priority: context.access.priority,
            time_left: context.deadline.saturating_sub(gateway.now()),
            stop_limit: gateway.stop_limit(context.deadline),
            target_latency: route.target_latency,
            home_regions: &context.access.home_regions,
            tried: &history.tried,
            repeated: history.sends > 0,
        };
        let choice = match gateway.choose_endpoint(&request) {
            Ok(choice) => choice,
            Err(refusal) if refusal.reason == RefusalReason::NoEndpoint => {
                let relayed = relay_once(gateway, context, &mut history, service).await;
                return relayed
                    .unwrap_or_else(|| refusal_response(gateway, context, history, refusal));
            }
            Err(refusal) => return refusal_response(gateway, context, history, refusal),
        };
        event!(Debug, "request_sent", "request" => context.id, "endpoint" => choice.instance,
            "service" => service, "expected_ms" => choice.expected_latency.as_millis(),
            "remote" => choice.remote, "cold" => choice.cold, "sends" => history.sends);
        (gateway.metrics).count_send(service, &choice, history.sends > 0);
        let sent_at = gateway.now();
        gateway.in_progress.update(context.progress, |p| {
            p.sends = history.sends;
            p.endpoint.clone_from(&choice.instance);
            p.sent_at = sent_at;
            p.expected_latency = choice.expected_latency;
        });
        let result = tokio::select! {
            biased;
            result = attempt(gateway, context, &choice) => result,
            () = gateway.exiting() => AttemptResult::Interrupted,
        };
        gateway.metrics.count_result(service, result.as_str());
        event!(Debug, "request_ended", "request" => context.id, "endpoint" => choice.instance,
            "result" => result.as_str(),
            "object" => metadata.affinity_key.as_deref().unwrap_or_default(),
            "took_ms" => gateway.now().saturating_sub(sent_at).as_millis());
        history.tried.push(choice.ticket.endpoint);
        let may_retry = context.idempotent && history.sends + 1 < route.attempts;
        match result {
            AttemptResult::Success(response) => return response,
            AttemptResult::ServerError(response) => {
                history.may_have_run = true;
                if !may_retry {
                    return response;
                }
                history.last_error = Some(response);
            }
            AttemptResult::Rejected if history.sends + 1 >= route.attempts => {
                return exhausted_response(context, history, gateway);
            }
            AttemptResult::Rejected => {}
            AttemptResult::Unreachable => {
                history.unreachable += 1;
                if history.unreachable > MAX_UNREACHABLE_ENDPOINTS {
                    return exhausted_response(context, history, gateway);
                }
                continue;
            }
            AttemptResult::Unchecked => {
                history.unchecked += 1;
                if history.unchecked > MAX_UNCHECKED_ENDPOINTS {
                    return exhausted_response(context, history, gateway);
                }
                continue;
            }
            AttemptResult::Failed(e) => {
                history.may_have_run = true;
                event!(Info, "endpoint_failed", "request" => context.id,
                    "endpoint" => choice.instance, "error" => e);
                if !may_retry {
                    return exhausted_response(context, history, gateway);
                }
            }
            AttemptResult::Interrupted => {
                history.may_have_run = true;
                return exhausted_response(context, history, gateway);
            }
            AttemptResult::TimedOut => {
                event!(Info, "endpoint_late", "request" => context.id,
                    "endpoint" => choice.instance,
                    "expected_ms" => choice.expected_latency.as_millis());
                return Response::error(ErrorKind::DeadlineExceeded, "no answer in time", None);
            }
        }
        history.sends += 1;
    }
}

/// Relays a request of a caller that was neither sent nor relayed before. Returns `None` if it is not
/// relayed.
async fn relay_once(
    gateway: &Rc<Gateway>,
    context: &AttemptContext<'_>,
    history: &mut SendHistory,
    service: &str,
) -> Option<Response> {
    let stop_limit = gateway.stop_limit(context.deadline);
    let may_relay = context.origin == Origin::Caller
        && history.sends == 0
        && stop_limit.is_none_or(|limit| !limit.is_zero());
    if !may_relay || std::mem::replace(&mut history.relayed, true) {
        return None;
    }
    relay(gateway, context, service).await
}

/// The response to a request for which the dispatcher offers no endpoint.
fn refusal_response(
    gateway: &Gateway,
    context: &AttemptContext<'_>,
    history: SendHistory,
    refusal: Refusal,
) -> Response {
    let reason = refusal.reason;
    gateway
        .metrics
        .refusals
        .with_label_values(&[reason.as_str()])
        .inc();
    event!(Info, "request_refused", "request" => context.id, "reason" => reason.as_str(),
        "sends" => history.sends, "may_have_run" => history.may_have_run,
        "retry_after_ms" => refusal.retry_after.as_millis());
    if let Some(response) = history.last_error {
        return response;
    }
    let kind = match (history.may_have_run, reason) {
        (true, _) => ErrorKind::UpstreamFailed,
        (false, RefusalReason::Stopping) => return Response::stopping(),
        (false, RefusalReason::NoEndpoint) => ErrorKind::NoEndpoint,
        (false, RefusalReason::TooLate | RefusalReason::NoRetryBudget) => ErrorKind::NoCapacity,
    };
    Response::error(kind, reason.as_str(), Some(refusal.retry_after))
}

/// The response after the last attempt that is allowed.
fn exhausted_response(
    context: &AttemptContext<'_>,
    history: SendHistory,
    gateway: &Gateway,
) -> Response {
    match history {
        SendHistory {
            last_error: Some(response),
            ..
        } => response,
        SendHistory {
            may_have_run: true, ..
        } => Response::error(ErrorKind::UpstreamFailed, "the endpoint failed", None),
        SendHistory { .. } => {
            let remaining = context.deadline.saturating_sub(gateway.now());
            let delay = gateway.retry_after(remaining);
            Response::error(ErrorKind::NoCapacity, "all endpoints are full", Some(delay))
        }
    }
}

/// Hashes an affinity key together with its service, because equal keys of different services name
/// different objects.
fn hash_affinity_key(service: &str, object_key: &str) -> u64 {
    xxh3_64(format!("{service}\n{object_key}").as_bytes())
}
