use crate::connection_target::ConnectionTarget;
use crate::send_guard::SendGuard;
use actix_web::http::StatusCode;
use actix_web::http::header::{CONTENT_TYPE, HeaderMap, HeaderValue, RETRY_AFTER};
use bytes::Bytes;
use mangospindle_client::{Exchange, ResponseHead, end_to_end_headers};
use mangospindle_model::ErrorKind;
use std::time::Duration;

/// `Retry-After` while the entry is stopping. It is short because another entry can serve the
/// request immediately.
const STOPPING_RETRY_AFTER: Duration = Duration::from_millis(1);

/// A response body that is forwarded while it is read.
pub(crate) struct StreamedBody {
    /// Bytes that were read before forwarding started.
    pub(crate) buffered: Bytes,
    pub(crate) exchange: Exchange<ConnectionTarget>,
    /// Total length of the body in bytes, if the endpoint declared it.
    pub(crate) length: Option<u64>,
    pub(crate) guard: SendGuard,
    /// When the body has to be complete, on the local clock.
    pub(crate) deadline: Duration,
}

/// The body of a response.
pub(crate) enum ResponseBody {
    /// No body, as in the response to `HEAD`; the length is that of the response to a `GET`.
    None(Option<u64>),
    /// A body that was read in full.
    Buffered(Bytes),
    /// A body that is forwarded while it is read.
    Streamed(Box<StreamedBody>),
}

/// A response to a caller.
pub(crate) struct Response {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: ResponseBody,
    /// Whether the connection is closed after the response.
    pub(crate) closes_connection: bool,
    /// The error, if this entry made the response.
    pub(crate) error_kind: Option<ErrorKind>,
    /// Whether it is certain that the request has not run.
    pub(crate) not_run: bool,
}

impl Response {
    /// Forwards an endpoint's response, without its hop-by-hop headers.
    pub(crate) fn from_endpoint(head: &ResponseHead, body: ResponseBody) -> Self {
        Response {
            status: head.status,
            headers: end_to_end_headers(&head.headers, &[]),
            body,
            closes_connection: false,
            error_kind: None,
            not_run: false,
        }
    }

    /// The refusal of a request that a stopping entry might not complete. The request did not run.
    pub(crate) fn stopping() -> Self {
        let delay = Some(STOPPING_RETRY_AFTER);
        Response::error(ErrorKind::Draining, "the entry is stopping", delay)
    }

    /// An error response of this entry.
    pub(crate) fn error(kind: ErrorKind, detail: &str, retry_after: Option<Duration>) -> Self {
        let row = kind.row();
        let mut headers = HeaderMap::new();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
        let delay = retry_after.filter(|_| row.retry_after);
        // The value may have a fraction: whole seconds are longer than many callers can wait.
        let delay = delay.map(|w| format!("{:.3}", w.as_secs_f64()));
        if let Some(value) = delay.and_then(|w| HeaderValue::from_str(&w).ok()) {
            headers.insert(RETRY_AFTER, value);
        }
        Response {
            status: StatusCode::from_u16(row.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR),
            headers,
            body: ResponseBody::Buffered(Bytes::from(format!("{}: {detail}\n", row.name))),
            closes_connection: false,
            error_kind: Some(kind),
            not_run: kind.has_not_run(),
        }
    }
}
