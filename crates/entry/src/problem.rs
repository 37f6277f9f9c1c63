//! Error responses in the problem details format, built from the table of [`ErrorKind`].

use crate::headers::{ENTRY_ERROR, REQUEST_ID, REQUEST_RUN};
use crate::request_error::RequestError;
use actix_web::http::StatusCode;
use actix_web::http::header::{CONTENT_TYPE, RETRY_AFTER};
use actix_web::{HttpResponse, HttpResponseBuilder};
use mangospindle_http::{PROBLEM_CONTENT_TYPE, ProblemBody};
use mangospindle_model::ErrorKind;

/// Builds the response for an error.
pub(crate) fn problem(error: &RequestError, request_id: &str) -> HttpResponse {
    let row = error.kind.row();
    let status = StatusCode::from_u16(row.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut response = HttpResponseBuilder::new(status);
    response
        .insert_header((CONTENT_TYPE, PROBLEM_CONTENT_TYPE))
        .insert_header((REQUEST_RUN, row.can_have_run.as_str()))
        .insert_header((ENTRY_ERROR, row.name));
    if !request_id.is_empty() {
        response.insert_header((REQUEST_ID, request_id));
    }
    if row.retry_after {
        let seconds = error.retry_after.as_secs_f64().ceil().max(1.0) as u64;
        response.insert_header((RETRY_AFTER, seconds.to_string()));
    }
    if error.kind == ErrorKind::HeadersTooLarge {
        response.force_close();
    }
    let body = ProblemBody {
        request_id: Some(request_id.to_string()).filter(|id| !id.is_empty()),
        ..ProblemBody::new(error.kind, error.detail.clone())
    };
    response.json(body)
}
