use mangospindle_model::{CanHaveRun, ErrorKind};
use serde::{Deserialize, Serialize};

/// Content type of error responses (RFC 9457).
pub const PROBLEM_CONTENT_TYPE: &str = "application/problem+json";

/// Body of an error response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProblemBody {
    /// Problem type: [`ProblemBody::TYPE_PREFIX`] followed by the stable name of the error kind.
    #[serde(rename = "type")]
    pub problem_type: String,
    /// Title of the error kind.
    pub title: String,
    /// HTTP status code.
    pub status: u16,
    /// What is wrong with this request.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub detail: String,
    /// Whether the request may have been executed. Equals the `x-request-run` header.
    pub request_run: CanHaveRun,
    /// Identifier of the request, if it has one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request_id: Option<String>,
    /// Current version of the item, set for a version conflict.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub current_version: Option<u64>,
}

impl ProblemBody {
    /// Prefix of all problem types.
    pub const TYPE_PREFIX: &str = "urn:mangospindle:problem:";

    /// Creates the body for an error kind; `detail` describes what is wrong with the request.
    pub fn new(kind: ErrorKind, detail: String) -> Self {
        let row = kind.row();
        ProblemBody {
            problem_type: format!("{}{}", Self::TYPE_PREFIX, row.name),
            title: row.title.to_string(),
            status: row.status,
            detail,
            request_run: row.can_have_run,
            request_id: None,
            current_version: None,
        }
    }

    /// Returns the stable name of the error kind.
    pub fn name(&self) -> &str {
        (self.problem_type.strip_prefix(Self::TYPE_PREFIX)).unwrap_or(&self.problem_type)
    }
}
