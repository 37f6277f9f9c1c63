use crate::{PROBLEM_CONTENT_TYPE, ProblemBody};
use actix_web::http::StatusCode;
use actix_web::http::header::{CONTENT_TYPE, RETRY_AFTER};
use actix_web::{HttpResponse, ResponseError};
use mangospindle_model::ErrorKind;
use std::fmt;
use std::ops::RangeInclusive;

/// Header that says whether a refused request can have run.
pub const REQUEST_RUN_HEADER: &str = "x-request-run";

/// Values of `Retry-After`, in seconds. Random, so that refused callers do not return together.
const RETRY_AFTER_SECONDS: RangeInclusive<u32> = 1..=4;

/// An error with its details; [`ResponseError`] turns it into the answer of its kind.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// Selects the row of the table.
    pub kind: ErrorKind,
    /// What is wrong with this request.
    pub detail: String,
    /// The present version of the item, for a version conflict.
    pub current_version: Option<u64>,
}

impl Problem {
    /// Creates a problem.
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

    /// The body of the answer.
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
