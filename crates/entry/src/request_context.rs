use crate::headers::{self, DEADLINE, REQUEST_ID};
use crate::request_error::RequestError;
use actix_web::HttpRequest;
use actix_web::http::Method;
use mangospindle_model::{ErrorKind, RegionId, RequestClass, Service, ServiceId};
use std::time::Duration;

/// Maximum length of a request identifier from a caller, in bytes.
const MAX_REQUEST_ID_BYTES: usize = 128;

/// Properties of a request that its routing depends on.
#[derive(Clone, Debug)]
pub(crate) struct RequestContext {
    pub(crate) id: String,
    pub(crate) service: ServiceId,
    pub(crate) class: RequestClass,
    pub(crate) home: RegionId,
    /// Time on the local clock at which the request expires.
    pub(crate) deadline: Duration,
}

impl RequestContext {
    /// Returns the time until the deadline. Fails if less than a millisecond is left, since the
    /// next hop receives the time in whole milliseconds.
    pub(crate) fn remaining(&self, now: Duration) -> Result<Duration, RequestError> {
        let time_left = self.deadline.saturating_sub(now);
        match time_left.as_millis() {
            0 => Err(ErrorKind::DeadlineBeforeDispatch.into()),
            _ => Ok(time_left),
        }
    }
}

/// Returns the class of a request with this method.
pub(crate) fn request_class(method: &Method, service: &Service) -> RequestClass {
    match *method {
        Method::GET | Method::HEAD => RequestClass::Read,
        _ => service.write_class,
    }
}

/// Returns the caller's request identifier, or a new one if it is missing or invalid.
pub(crate) fn request_id(req: &HttpRequest) -> String {
    let is_valid = |id: &&str| {
        (1..=MAX_REQUEST_ID_BYTES).contains(&id.len()) && id.bytes().all(|b| b.is_ascii_graphic())
    };
    match headers::text(req.headers(), REQUEST_ID).filter(is_valid) {
        Some(id) => id.to_string(),
        None => uuid::Uuid::new_v4().simple().to_string(),
    }
}

/// Returns the deadline on the local clock: the time that the request asks for, limited to the
/// service's maximum.
pub(crate) fn request_deadline(
    req: &HttpRequest,
    service: &Service,
    now: Duration,
) -> Result<Duration, RequestError> {
    let requested = match req.headers().get(DEADLINE) {
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
    match requested.min(service.max_deadline) {
        Duration::ZERO => Err(ErrorKind::DeadlineBeforeDispatch.into()),
        time_left => Ok(now + time_left),
    }
}
