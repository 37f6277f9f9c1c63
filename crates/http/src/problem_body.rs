use mangospindle_model::{CanHaveRun, ErrorKind};
use serde::{Deserialize, Serialize};

/// Content type of error answers (RFC 9457).
pub const PROBLEM_CONTENT_TYPE: &str = "application/problem+json";

/// Body of an error answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProblemBody {
    /// [`ProblemBody::TYPE_PREFIX`] and the stable name of the kind.
    #[serde(rename = "type")]
    pub problem_type: String,
    /// Title of the kind.
    pub title: String,
    /// HTTP status.
    pub status: u16,
    /// What is wrong with this request.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub detail: String,
    /// Whether the request can have run; the same as the `x-request-run` header.
    pub request_run: CanHaveRun,
    /// Identifier of the request, where requests have one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request_id: Option<String>,
    /// The present version of the item, for a version conflict.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub current_version: Option<u64>,
}

impl ProblemBody {
    /// First part of every problem type.
    pub const TYPE_PREFIX: &str = "urn:mangospindle:problem:";

    /// The body for a kind and what is wrong with this request.
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

    /// Stable name of the kind.
    pub fn name(&self) -> &str {
        (self.problem_type.strip_prefix(Self::TYPE_PREFIX)).unwrap_or(&self.problem_type)
    }
}
