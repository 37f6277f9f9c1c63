use crate::headers::{self, DEADLINE, REQUEST_ID};
use crate::request_error::RequestError;
use actix_web::HttpRequest;
use actix_web::http::Method;
use mangospindle_model::{ErrorKind, RegionId, RequestClass, Service, ServiceId};
use std::time::Duration;

/// Longest identifier that is accepted from a caller, in bytes.
const MAX_REQUEST_ID_BYTES: usize = 128;

/// What the system needs to know about a request in order to route it.
#[derive(Clone, Debug)]
pub(crate) struct RequestContext {
    pub(crate) id: String,
    pub(crate) service: ServiceId,
    pub(crate) class: RequestClass,
    pub(crate) home: RegionId,
    /// Time on the local clock at which the caller gives up.
    pub(crate) deadline: Duration,
}

impl RequestContext {
    /// Time left; an error if there is none, or too little to be announced to the next hop.
    pub(crate) fn remaining(&self, now: Duration) -> Result<Duration, RequestError> {
        let left = self.deadline.saturating_sub(now);
        match left.as_millis() {
            0 => Err(ErrorKind::DeadlineBeforeDispatch.into()),
            _ => Ok(left),
        }
    }
}

/// Class of a request by its method.
pub(crate) fn request_class(method: &Method, service: &Service) -> RequestClass {
    match *method {
        Method::GET | Method::HEAD => RequestClass::Read,
        _ => service.write_class,
    }
}

/// The caller's request identifier, or a new one.
pub(crate) fn request_id(req: &HttpRequest) -> String {
    let ok = |id: &&str| {
        (1..=MAX_REQUEST_ID_BYTES).contains(&id.len()) && id.bytes().all(|b| b.is_ascii_graphic())
    };
    match headers::text(req.headers(), REQUEST_ID).filter(ok) {
        Some(id) => id.to_string(),
        None => uuid::Uuid::new_v4().simple().to_string(),
    }
}

/// Deadline on the local clock: what the request asks for, at most the service's maximum.
pub(crate) fn request_deadline(
    req: &HttpRequest,
    service: &Service,
    now: Duration,
) -> Result<Duration, RequestError> {
    let asked = match req.headers().get(DEADLINE) {
        None => service.max_deadline,
        Some(value) => match value.to_str().ok().and_then(|v| v.parse().ok()) {
            Some(ms) => Duration::from_millis(ms),
            None => {
                return Err(RequestError::new(
                    ErrorKind::BadRequest,
                    "invalid x-deadline-ms",
                ));
            }
        },
    };
    match asked.min(service.max_deadline) {
        Duration::ZERO => Err(ErrorKind::DeadlineBeforeDispatch.into()),
        left => Ok(now + left),
    }
}
