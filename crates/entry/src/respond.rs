use crate::in_progress_guard::{CountedBody, InProgressGuard};
use crate::problem::problem;
use crate::proxy_response::ProxyResponse;
use crate::request_error::RequestError;
use crate::request_traces::TraceEvent;
use crate::server_state::ServerState;
use actix_web::HttpResponse;

/// Converts the result of a request into the HTTP response and records it for `/v1/explain`. The
/// request counts as in progress until the end of the body.
pub(crate) fn respond(
    shared: &ServerState,
    id: &str,
    guard: InProgressGuard,
    result: Result<ProxyResponse, RequestError>,
) -> HttpResponse {
    let event = match &result {
        Ok(response) => TraceEvent::ResponseStarted(response.status.as_u16()),
        Err(error) => TraceEvent::Rejected(error.kind),
    };
    shared.traces.record(id, shared.now(), event);
    match result {
        Ok(mut response) => {
            response.body = Box::pin(CountedBody::new(response.body, guard));
            response.into_response()
        }
        Err(error) => problem(&error, id),
    }
}
