//! The HTTP server of one endpoint stand-in.

use crate::Failure;
use crate::fleet::Fleet;
use crate::in_progress_guard::InProgressGuard;
use actix_web::http::header::{CONTENT_TYPE, HeaderMap};
use actix_web::{App, Error, HttpRequest, HttpResponse, HttpServer, dev::Server, web};
use bytes::Bytes;
use futures::{StreamExt, stream};
use mangospindle_model::EndpointId;
use serde_json::json;
use sha2::{Digest, Sha256};
use std::any::Any;
use std::sync::Arc;
use std::time::Duration;

/// Chunk size of generated response bodies, in bytes.
const CHUNK_BYTES: usize = 16 * 1024;

/// Size of a generated response body if the request does not specify one, in bytes.
const DEFAULT_RESPONSE_BYTES: usize = 2 * 1024;

/// Time for which a stalled request without a deadline stays in progress.
const MAX_STALL_TIME: Duration = Duration::from_secs(3_600);

/// One endpoint of a fleet, shared by the handlers of its server.
#[derive(Clone)]
struct EndpointHandle {
    fleet: Arc<Fleet>,
    id: EndpointId,
}

/// Counts a connection as open until the guard is dropped.
struct ConnectionGuard(EndpointHandle);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        if let Some(state) = self.0.fleet.lock().endpoints.get_mut(&self.0.id) {
            state.connections -= 1;
        }
    }
}

/// Starts the HTTP server of one endpoint.
pub(crate) fn start(fleet: Arc<Fleet>, id: EndpointId) -> std::io::Result<Server> {
    let endpoint = EndpointHandle { fleet, id };
    let address = endpoint.fleet.topology.endpoints[id.index()].address;
    let data = web::Data::new(endpoint.clone());
    let server = HttpServer::new(move || {
        App::new()
            .app_data(data.clone())
            .route("/health", web::get().to(health))
            .default_service(web::to(handle_request))
    })
    .on_connect(move |_io: &dyn Any, extensions| {
        if let Some(state) = endpoint.fleet.lock().endpoints.get_mut(&endpoint.id) {
            state.connections += 1;
            let peak = state.report.max_connections.max(state.connections);
            state.report.max_connections = peak;
        }
        extensions.insert(Arc::new(ConnectionGuard(endpoint.clone())));
    })
    .workers(1)
    .disable_signals()
    .bind(address)?
    .run();
    Ok(server)
}

async fn health(endpoint: web::Data<EndpointHandle>) -> HttpResponse {
    match endpoint.fleet.lock().endpoints.get(&endpoint.id) {
        Some(state) => HttpResponse::Ok().json(json!({
            "state": state.behaviour.health,
            "in_progress": state.reported_in_progress(),
            "load": f64::from(state.reported_in_progress()) / f64::from(state.report.slots),
        })),
        None => HttpResponse::NotFound().finish(),
    }
}

async fn handle_request(
    endpoint: web::Data<EndpointHandle>,
    req: HttpRequest,
    mut body: web::Payload,
) -> Result<HttpResponse, Error> {
    let headers = req.headers();
    let (guard, processing_time) = InProgressGuard::start(
        &endpoint.fleet,
        endpoint.id,
        header_str(headers, "x-home-region"),
    );
    let deadline = header_u64(headers, "x-deadline-ms").map(Duration::from_millis);
    let (failure, name) = {
        let inner = endpoint.fleet.lock();
        let state = inner.endpoints.get(&endpoint.id);
        state.map_or((Failure::None, String::new()), |s| {
            (s.behaviour.failure, s.name.clone())
        })
    };
    match failure {
        Failure::FailFast => return Ok(HttpResponse::InternalServerError().finish()),
        Failure::Stall => {
            actix_rt::time::sleep(deadline.unwrap_or(MAX_STALL_TIME)).await;
            // The request is no longer in progress, but the caller gets no response.
            drop(guard);
            return std::future::pending().await;
        }
        Failure::None | Failure::Truncate => {}
    }
    let mut digest = Sha256::new();
    let mut received = 0u64;
    while let Some(chunk) = body.next().await {
        let chunk = chunk?;
        received += chunk.len() as u64;
        digest.update(&chunk);
    }
    if deadline.is_some_and(|d| d < processing_time) {
        actix_rt::time::sleep(deadline.unwrap_or_default()).await;
        return Ok(HttpResponse::GatewayTimeout().finish());
    }
    let executions = count_execution(&endpoint, headers);
    actix_rt::time::sleep(processing_time).await;
    let mut response = HttpResponse::Ok();
    response.insert_header(("x-endpoint", name));
    for header in ["x-request-id", "x-caller-token"] {
        if let Some(value) = header_str(headers, header) {
            response.insert_header((header, value));
        }
    }
    if req.method() != actix_web::http::Method::GET {
        return Ok(response.json(json!({
            "received_bytes": received,
            "sha256": hex(&digest.finalize()),
            "executions": executions,
        })));
    }
    let size = size_from_query(req.query_string()).unwrap_or(DEFAULT_RESPONSE_BYTES);
    let token = header_str(headers, "x-caller-token")
        .unwrap_or("")
        .to_string();
    let truncate = failure == Failure::Truncate;
    response.insert_header((CONTENT_TYPE, "application/octet-stream"));
    Ok(response
        .no_chunking(size as u64)
        .streaming(response_body(token, size, truncate, guard)))
}

/// Counts an execution of the request's idempotency key and returns the count so far.
///
/// Returns `None` for a request without an idempotency key.
fn count_execution(endpoint: &EndpointHandle, headers: &HeaderMap) -> Option<u32> {
    let key = header_str(headers, "idempotency-key")?;
    let mut inner = endpoint.fleet.lock();
    let state = inner.endpoints.get_mut(&endpoint.id)?;
    let count = state.report.executions.entry(key.to_string()).or_default();
    *count += 1;
    Some(*count)
}

/// Generates a response body that repeats the caller's token, so that the caller can check that it
/// received the complete response to its own request.
fn response_body(
    token: String,
    size: usize,
    truncate: bool,
    guard: InProgressGuard,
) -> impl futures::Stream<Item = Result<Bytes, std::io::Error>> {
    let pattern = format!("{token}/");
    let end = if truncate { size / 2 } else { size };
    stream::unfold((0usize, guard), move |(sent, guard)| {
        let pattern = pattern.clone();
        async move {
            match sent {
                sent if sent >= size => None,
                sent if sent >= end => {
                    let error =
                        std::io::Error::other("response truncated by the configured failure");
                    Some((Err(error), (size, guard)))
                }
                sent => {
                    let n = CHUNK_BYTES.min(end - sent);
                    let chunk: Bytes = (pattern.bytes().cycle().skip(sent % pattern.len()))
                        .take(n)
                        .collect();
                    Some((Ok(chunk), (sent + n, guard)))
                }
            }
        }
    })
}

fn header_str<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn header_u64(headers: &HeaderMap, name: &str) -> Option<u64> {
    header_str(headers, name)?.parse().ok()
}

fn size_from_query(query: &str) -> Option<usize> {
    let pair = query.split('&').find_map(|p| p.strip_prefix("size="))?;
    pair.parse().ok()
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}
