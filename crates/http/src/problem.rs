use crate::{PROBLEM_CONTENT_TYPE, ProblemBody};
use actix_web::http::StatusCode;
use actix_web::http::header::{CONTENT_TYPE, RETRY_AFTER};
use actix_web::{HttpResponse, ResponseError};
use mangospindle_model::ErrorKind;
use std::fmt;
use std::ops::RangeInclusive;

/// Response header that states whether a refused request may have been executed.
pub const REQUEST_RUN_HEADER: &str = "x-request-run";

/// Range of `Retry-After` values, in seconds. The value is random, so that refused callers do not
/// all retry at the same time.
const RETRY_AFTER_SECONDS: RangeInclusive<u32> = 1..=4;

/// An error with its details.
///
/// Its [`ResponseError`] implementation builds the HTTP response from the row of its kind in the
/// error table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// Kind of the error, which selects the row of the error table.
    pub kind: ErrorKind,
    /// What is wrong with this request.
    pub detail: String,
    /// Current version of the item, set for a version conflict.
    pub current_version: Option<u64>,
}

impl Problem {
    /// Creates a problem without a current version.
    pub fn new<D>(kind: ErrorKind, detail: D) -> Self
    where
        D: Into<String>,
    {
        Problem {
            kind,
            detail: detail.into(),
            current_version: None,
        }
    }

    /// Returns the response body.
    pub fn body(&self) -> ProblemBody {
        ProblemBody {
            current_version: self.current_version,
            ..ProblemBody::new(self.kind, self.detail.clone())
        }
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.kind, self.detail)
    }
}

impl std::error::Error for Problem {}

impl From<ErrorKind> for Problem {
    fn from(kind: ErrorKind) -> Self {
        Problem::new(kind, "")
    }
}

impl ResponseError for Problem {
    fn status_code(&self) -> StatusCode {
        StatusCode::from_u16(self.kind.row().status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR)
    }

    fn error_response(&self) -> HttpResponse {
        let row = self.kind.row();
        let mut response = HttpResponse::build(self.status_code());
        response
            .insert_header((CONTENT_TYPE, PROBLEM_CONTENT_TYPE))
            .insert_header((REQUEST_RUN_HEADER, row.can_have_run.as_str()));
        if row.retry_after {
            let seconds = rand::random_range(RETRY_AFTER_SECONDS);
            response.insert_header((RETRY_AFTER, seconds.to_string()));
        }
        response.json(self.body())
    }
}
