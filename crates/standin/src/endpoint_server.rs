//! The HTTP server of one endpoint stand-in.

use crate::Failure;
use crate::fleet::Fleet;
use crate::in_progress::InProgress;
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

/// Chunk size of generated answers, in bytes.
const CHUNK_BYTES: usize = 16 * 1024;

/// Size of a generated answer when the request names none, in bytes.
const DEFAULT_ANSWER_BYTES: usize = 2 * 1024;

/// Time that a stalled request without a deadline takes.
const MAX_STALL: Duration = Duration::from_secs(3_600);

#[derive(Clone)]
struct Endpoint {
    fleet: Arc<Fleet>,
    id: EndpointId,
}

/// Counts a connection until it is closed.
struct ConnectionGuard(Endpoint);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        if let Some(state) = self.0.fleet.lock().endpoints.get_mut(&self.0.id) {
            state.connections -= 1;
        }
    }
}

/// Starts the server of one endpoint.
pub(crate) fn start(fleet: Arc<Fleet>, id: EndpointId) -> std::io::Result<Server> {
    let endpoint = Endpoint { fleet, id };
    let address = endpoint.fleet.topology.endpoints[id.index()].address;
    let data = web::Data::new(endpoint.clone());
    let server = HttpServer::new(move || {
        App::new()
            .app_data(data.clone())
            .route("/health", web::get().to(health))
            .default_service(web::to(serve))
    })
    .on_connect(move |_io: &dyn Any, extensions| {
        if let Some(state) = endpoint.fleet.lock().endpoints.get_mut(&endpoint.id) {
            state.connections += 1;
            let most = state.report.max_connections.max(state.connections);
            state.report.max_connections = most;
        }
        extensions.insert(Arc::new(ConnectionGuard(endpoint.clone())));
    })
    .workers(1)
    .disable_signals()
    .bind(address)?
    .run();
    Ok(server)
}

async fn health(endpoint: web::Data<Endpoint>) -> HttpResponse {
    match endpoint.fleet.lock().endpoints.get(&endpoint.id) {
        Some(state) => HttpResponse::Ok().json(json!({
            "state": state.behaviour.health,
            "in_progress": state.reported_in_progress(),
            "load": f64::from(state.reported_in_progress()) / f64::from(state.report.slots),
        })),
        None => HttpResponse::NotFound().finish(),
    }
}

async fn serve(
    endpoint: web::Data<Endpoint>,
    req: HttpRequest,
    mut body: web::Payload,
) -> Result<HttpResponse, Error> {
    let headers = req.headers();
    let (guard, time) =
        InProgress::start(&endpoint.fleet, endpoint.id, text(headers, "x-home-region"));
    let deadline = number(headers, "x-deadline-ms").map(Duration::from_millis);
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
            actix_rt::time::sleep(deadline.unwrap_or(MAX_STALL)).await;
            // The work ends, but the caller hears nothing.
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
    if deadline.is_some_and(|d| d < time) {
        actix_rt::time::sleep(deadline.unwrap_or_default()).await;
        return Ok(HttpResponse::GatewayTimeout().finish());
    }
    let executions = execute(&endpoint, headers);
    actix_rt::time::sleep(time).await;
    let mut answer = HttpResponse::Ok();
    answer.insert_header(("x-endpoint", name));
    for header in ["x-request-id", "x-caller-token"] {
        if let Some(value) = text(headers, header) {
            answer.insert_header((header, value));
        }
    }
    if req.method() != actix_web::http::Method::GET {
        return Ok(answer.json(json!({
            "received_bytes": received,
            "sha256": hex(&digest.finalize()),
            "executions": executions,
        })));
    }
    let size = size_from_query(req.query_string()).unwrap_or(DEFAULT_ANSWER_BYTES);
    let token = text(headers, "x-caller-token").unwrap_or("").to_string();
    let truncate = failure == Failure::Truncate;
    answer.insert_header((CONTENT_TYPE, "application/octet-stream"));
    Ok(answer
        .no_chunking(size as u64)
        .streaming(answer_body(token, size, truncate, guard)))
}

/// Counts an execution of the request's idempotency key.
fn execute(endpoint: &Endpoint, headers: &HeaderMap) -> Option<u32> {
    let key = text(headers, "idempotency-key")?;
    let mut inner = endpoint.fleet.lock();
    let state = inner.endpoints.get_mut(&endpoint.id)?;
    let count = state.report.executions.entry(key.to_string()).or_default();
    *count += 1;
    Some(*count)
}

/// Generates an answer that repeats the caller's token, so that the caller can tell whether it got
/// the whole answer to its own request.
fn answer_body(
    token: String,
    size: usize,
    truncate: bool,
    guard: InProgress,
) -> impl futures::Stream<Item = Result<Bytes, std::io::Error>> {
    let pattern = format!("{token}/");
    let stop = if truncate { size / 2 } else { size };
    stream::unfold((0usize, guard), move |(sent, guard)| {
        let pattern = pattern.clone();
        async move {
            match sent {
                sent if sent >= size => None,
                sent if sent >= stop => {
                    let error = std::io::Error::other("answer cut on request of a test");
                    Some((Err(error), (size, guard)))
                }
                sent => {
                    let n = CHUNK_BYTES.min(stop - sent);
                    let chunk: Bytes = (pattern.bytes().cycle().skip(sent % pattern.len()))
                        .take(n)
                        .collect();
                    Some((Ok(chunk), (sent + n, guard)))
                }
            }
        }
    })
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn number(headers: &HeaderMap, name: &str) -> Option<u64> {
    text(headers, name)?.parse().ok()
}

fn size_from_query(query: &str) -> Option<usize> {
    let pair = query.split('&').find_map(|p| p.strip_prefix("size="))?;
    pair.parse().ok()
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}
