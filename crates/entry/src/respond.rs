use crate::in_progress_guard::{CountedBody, InProgressGuard};
use crate::problem::problem;
use crate::proxy_response::ProxyResponse;
use crate::request_error::RequestError;
use crate::request_traces::TraceEvent;
use crate::server_state::ServerState;
use actix_web::HttpResponse;

/// Turns the result of a request into its answer and notes it for `/v1/explain`. The request counts
/// as in progress until the end of the body.
pub(crate) fn respond(
    shared: &ServerState,
    id: &str,
    count: InProgressGuard,
    result: Result<ProxyResponse, RequestError>,
) -> HttpResponse {
    let step = match &result {
        Ok(answer) => TraceEvent::ResponseStarted(answer.status.as_u16()),
        Err(refusal) => TraceEvent::Rejected(refusal.kind),
    };
    shared.traces.record(id, shared.now(), step);
    match result {
        Ok(mut answer) => {
            answer.body = Box::pin(CountedBody::new(answer.body, count));
            answer.into_response()
        }
        Err(refusal) => problem(&refusal, id),
    }
}
