use crate::send_guard::SendGuard;
use actix_web::http::StatusCode;
use actix_web::http::header::{CONTENT_TYPE, HeaderMap, HeaderValue, RETRY_AFTER};
use bytes::Bytes;
use mangospindle_client::{Exchange, ResponseHead, end_to_end};
use mangospindle_dispatch::EndpointKey;
use mangospindle_model::ErrorKind;
use std::time::Duration;

/// The rest of an answer that is passed on while it is read.
pub(crate) struct Streamed {
    /// What was read before.
    pub(crate) first: Vec<Bytes>,
    pub(crate) exchange: Exchange<EndpointKey>,
    /// Length of the whole body, if it was declared.
    pub(crate) length: Option<u64>,
    pub(crate) guard: SendGuard,
    /// When the caller needs the end, on the local clock.
    pub(crate) deadline: Duration,
}

/// The body of an answer.
pub(crate) enum ReplyBody {
    /// There is none by definition; the length is that of the answer to a `GET`.
    None(Option<u64>),
    /// It was read whole.
    Whole(Bytes),
    /// It is passed on while it is read.
    Streamed(Box<Streamed>),
}

/// An answer to a caller.
pub(crate) struct Reply {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: ReplyBody,
    /// Whether the connection is closed behind the answer.
    pub(crate) closes: bool,
}

impl Reply {
    /// Passes an endpoint's answer on.
    pub(crate) fn from_endpoint(head: &ResponseHead, body: ReplyBody) -> Self {
        Reply {
            status: head.status,
            headers: end_to_end(&head.headers, &[]),
            body,
            closes: false,
        }
    }

    /// An answer of this entry.
    pub(crate) fn error(kind: ErrorKind, detail: &str, retry_after: Option<Duration>) -> Self {
        let row = kind.row();
        let mut headers = HeaderMap::new();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
        let wait = retry_after.filter(|_| row.retry_after);
        // Fractions are allowed here; whole seconds would be longer than many callers can wait.
        let wait = wait.map(|w| format!("{:.3}", w.as_secs_f64()));
        if let Some(value) = wait.and_then(|w| HeaderValue::from_str(&w).ok()) {
            headers.insert(RETRY_AFTER, value);
        }
        Reply {
            status: StatusCode::from_u16(row.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR),
            headers,
            body: ReplyBody::Whole(Bytes::from(format!("{}: {detail}\n", row.name))),
            closes: false,
        }
    }
}
