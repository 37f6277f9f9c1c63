//! Handlers for health, metrics and status, which operators use.

use crate::drain_state::DrainPhase;
use crate::problem::problem;
use crate::request_error::RequestError;
use crate::request_traces::TraceEvent;
use crate::server_state::ServerState;
use actix_web::http::header::CONTENT_TYPE;
use actix_web::{HttpResponse, web};
use mangospindle_model::{ErrorKind, Topology};
use mangospindle_telemetry::metrics_text;
use serde::Deserialize;
use serde_json::{Value, json};
use std::sync::Arc;
use std::sync::atomic::Ordering;

/// Query of a request for an explanation.
#[derive(Debug, Deserialize)]
pub(crate) struct ExplainQuery {
    request: String,
}

/// Handles `GET /livez`: succeeds while the process runs.
pub(crate) async fn livez() -> HttpResponse {
    HttpResponse::Ok().body("live")
}

/// Handles `GET /readyz`: succeeds if the entry accepts new callers.
pub(crate) async fn readyz(shared: web::Data<Arc<ServerState>>) -> HttpResponse {
    let reason = match (shared.drain.phase(), shared.entry_id()) {
        (DrainPhase::Serving, None) => "no configuration",
        // Until its join is committed, the entry owns no endpoints and its claims are rejected.
        (DrainPhase::Serving, Some(_)) if !shared.has_joined() => "not joined",
        (DrainPhase::Serving, Some(_)) => return HttpResponse::Ok().body("ready"),
        _ => "stopping",
    };
    HttpResponse::ServiceUnavailable().body(reason)
}

/// Handles `GET /metrics` in the Prometheus text format.
pub(crate) async fn metrics(shared: web::Data<Arc<ServerState>>) -> HttpResponse {
    refresh_gauges(&shared);
    match metrics_text(&shared.metrics.registry) {
        Ok(text) => HttpResponse::Ok()
            .insert_header((CONTENT_TYPE, "text/plain; version=0.0.4"))
            .body(text),
        Err(e) => HttpResponse::InternalServerError().body(e.to_string()),
    }
}

/// Handles `GET /v1/status`: describes the state of this entry.
pub(crate) async fn status(shared: web::Data<Arc<ServerState>>) -> HttpResponse {
    let phase = shared.drain.phase();
    let since = match phase {
        DrainPhase::Serving => None,
        DrainPhase::LeavingLists { since } | DrainPhase::Finishing { since } => {
            Some(shared.now().saturating_sub(since).as_millis() as u64)
        }
    };
    let configuration = shared.with_routing(|state, now| {
        let owned: Vec<Value> = (state.config.topology.endpoint_ids())
            .filter(|id| state.config.owner_of(*id) == Some(state.entry))
            .map(|id| {
                let ownership = state.config.ownership[id.index()];
                let progress = state.admission.progress(id);
                json!({
                    "endpoint": state.config.topology.endpoints[id.index()].name,
                    "epoch": ownership.epoch,
                    "takeover": format!("{:?}", ownership.takeover).to_lowercase(),
                    "operator_drain": state.config.endpoint_drain[id.index()],
                    "in_progress": progress.map(|p| p.in_flight),
                    "drained_in_ms": progress
                        .and_then(|p| p.drained_in)
                        .map(|t| t.as_millis() as u64),
                })
            })
            .collect();
        let age = state
            .confirmed_at
            .map(|at| now.saturating_sub(at).as_millis() as u64);
        json!({
            "config_version": state.config.version,
            "confirmation_age_ms": age,
            "owned_endpoints": owned,
            "queued": state.waiters.len(),
        })
    });
    HttpResponse::Ok().json(json!({
        "entry": shared.settings.name,
        "incarnation": format!("{:016x}", shared.incarnation),
        "version": env!("CARGO_PKG_VERSION"),
        "drain": {
            "phase": phase.as_str(),
            "since_ms": since,
            "requests_in_progress": shared.metrics.requests_in_progress.get(),
            "pending_commands": shared.pending_commands.load(Ordering::Relaxed),
        },
        "slots_in_use": shared.metrics.slots_in_use.get(),
        "configuration": configuration.ok(),
    }))
}

/// Handles `GET /v1/explain`: lists the trace events of a recent request.
pub(crate) async fn explain(
    shared: web::Data<Arc<ServerState>>,
    query: ExplainQuery,
) -> HttpResponse {
    let Some(found) = shared.traces.find(&query.request) else {
        let error = RequestError::new(ErrorKind::NotFound, "not among the recent requests");
        return problem(&error, &query.request);
    };
    let current_config = match shared.config() {
        Ok(config) => config,
        Err(error) => return problem(&error, &query.request),
    };
    let start = found.events.first().map_or_else(Default::default, |s| s.0);
    let steps: Vec<Value> = (found.events.iter())
        .map(|(at, event)| {
            let mut value = event_to_json(&current_config.topology, *event);
            value["after_us"] = json!(at.saturating_sub(start).as_micros() as u64);
            value
        })
        .collect();
    HttpResponse::Ok().json(json!({
        "request": found.id,
        "entry": shared.settings.name,
        "steps": steps,
    }))
}

/// Updates the gauges that are computed from the state.
fn refresh_gauges(shared: &ServerState) {
    let phase = match shared.drain.phase() {
        DrainPhase::Serving => 0,
        DrainPhase::LeavingLists { .. } => 1,
        DrainPhase::Finishing { .. } => 2,
    };
    shared.metrics.drain_phase.set(phase);
    let gauges = shared.with_routing(|state, now| {
        let owned = (state.config.topology.endpoint_ids())
            .filter(|id| state.config.owner_of(*id) == Some(state.entry))
            .count();
        let age = state
            .confirmed_at
            .map(|at| now.saturating_sub(at).as_millis() as i64);
        (owned, age)
    });
    if let Ok((owned, age)) = gauges {
        shared.metrics.owned_endpoints.set(owned as i64);
        shared
            .metrics
            .config_confirmation_age_ms
            .set(age.unwrap_or(-1));
    }
}

fn event_to_json(topology: &Topology, event: TraceEvent) -> Value {
    let entry = |id: mangospindle_model::EntryId| &topology.entries[id.index()].name;
    let arrival_to_json = |step: &str, service: usize, class: &str, home: usize| {
        json!({
            "step": step,
            "service": topology.services[service].name,
            "class": class,
            "home_region": topology.regions[home].name,
        })
    };
    match event {
        TraceEvent::Received {
            service,
            class,
            home,
        } => arrival_to_json("received", service.index(), class.as_str(), home.index()),
        TraceEvent::Forwarded {
            service,
            class,
            home,
        } => arrival_to_json("forwarded", service.index(), class.as_str(), home.index()),
        TraceEvent::OwnerChosen(id) => json!({ "step": "owner_chosen", "owner": entry(id) }),
        TraceEvent::Hedged(id) => json!({ "step": "hedged", "owner": entry(id) }),
        TraceEvent::AttemptFailed(id, kind) => json!({
            "step": "attempt_failed", "owner": entry(id), "error": kind.row().name,
        }),
        TraceEvent::Dispatched(id) => json!({
            "step": "dispatched", "endpoint": topology.endpoints[id.index()].name,
        }),
        TraceEvent::ResponseStarted(status) => json!({ "step": "answered", "status": status }),
        TraceEvent::Rejected(kind) => json!({ "step": "refused", "error": kind.row().name }),
    }
}
