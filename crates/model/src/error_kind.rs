use crate::CanHaveRun;
use serde::{Deserialize, Serialize};
use std::fmt;

/// The closed list of errors that callers and operators can receive.
///
/// [`ErrorKind::row`] is the table from kind to answer; every error answer is built from it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ErrorKind {
    /// The request is malformed.
    BadRequest,
    /// The body is longer or shorter than declared.
    BodyLengthMismatch,
    /// No credentials, or unknown ones.
    Unauthorized,
    /// The credentials do not allow the operation.
    Forbidden,
    /// The path names no service.
    UnknownService,
    /// The administration API has no such item.
    NotFound,
    /// An at-most-once action without an idempotency key.
    MissingIdempotencyKey,
    /// The idempotency key was used with another request.
    IdempotencyKeyReused,
    /// The action with this key is in progress.
    ActionInProgress,
    /// The action with this key may have run; its result is not known.
    OutcomeUnknown,
    /// The item was changed since the version that the request names.
    VersionConflict,
    /// The change names no version to check.
    MissingVersion,
    /// The change is not valid for the current configuration.
    InvalidChange,
    /// The request headers exceed the limit.
    HeadersTooLarge,
    /// The request body exceeds the limit.
    BodyTooLarge,
    /// The caller did not send the rest of its request in time.
    RequestTimeout,
    /// No endpoint of the service is usable.
    NoEndpoint,
    /// All usable endpoints are full.
    NoCapacity,
    /// Refused in favour of other classes.
    Shed,
    /// The cross-region limit leaves no room.
    CrossRegionLimit,
    /// The entry is stopping.
    Draining,
    /// The control replicas cannot agree now, so that the request cannot be accepted.
    NoQuorum,
    /// The deadline passed before the request was dispatched.
    DeadlineBeforeDispatch,
    /// The deadline passed after the request was dispatched.
    DeadlineExceeded,
    /// The endpoint or the connection to it failed after the request was dispatched.
    UpstreamFailed,
    /// A fault of the system itself.
    Internal,
    /// The workspace has used up its allowance.
    OverAllowance,
}

/// One row of the table from kind to answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ErrorRow {
    /// HTTP status.
    pub status: u16,
    /// Stable name; the last part of the problem type.
    pub name: &'static str,
    /// Short human-readable title.
    pub title: &'static str,
    /// Whether the request can have run.
    pub can_have_run: CanHaveRun,
    /// Whether the answer carries a jittered `Retry-After`.
    pub retry_after: bool,
}

impl ErrorKind {
    /// All kinds, in the order of the table.
    pub const ALL: [ErrorKind; 27] = [
        ErrorKind::BadRequest,
        ErrorKind::BodyLengthMismatch,
        ErrorKind::Unauthorized,
        ErrorKind::Forbidden,
        ErrorKind::UnknownService,
        ErrorKind::NotFound,
        ErrorKind::MissingIdempotencyKey,
        ErrorKind::IdempotencyKeyReused,
        ErrorKind::ActionInProgress,
        ErrorKind::OutcomeUnknown,
        ErrorKind::VersionConflict,
        ErrorKind::MissingVersion,
        ErrorKind::InvalidChange,
        ErrorKind::HeadersTooLarge,
        ErrorKind::BodyTooLarge,
        ErrorKind::RequestTimeout,
        ErrorKind::NoEndpoint,
        ErrorKind::NoCapacity,
        ErrorKind::Shed,
        ErrorKind::CrossRegionLimit,
        ErrorKind::Draining,
        ErrorKind::NoQuorum,
        ErrorKind::DeadlineBeforeDispatch,
        ErrorKind::DeadlineExceeded,
        ErrorKind::UpstreamFailed,
        ErrorKind::Internal,
        ErrorKind::OverAllowance,
    ];

    /// The answer for this kind.
    pub const fn row(self) -> ErrorRow {
        use CanHaveRun::{No, Unknown};
        const fn row(
            status: u16,
            name: &'static str,
            title: &'static str,
            can_have_run: CanHaveRun,
            retry_after: bool,
        ) -> ErrorRow {
            ErrorRow {
                status,
                name,
                title,
                can_have_run,
                retry_after,
            }
        }
        match self {
            Self::BadRequest => row(400, "bad-request", "Malformed request", No, false),
            Self::BodyLengthMismatch => row(
                400,
                "body-length-mismatch",
                "Body length differs from the declared length",
                Unknown,
                false,
            ),
            Self::Unauthorized => row(401, "unauthorized", "Credentials required", No, false),
            Self::Forbidden => row(403, "forbidden", "Operation not allowed", No, false),
            Self::UnknownService => row(404, "unknown-service", "Unknown service", No, false),
            Self::NotFound => row(404, "not-found", "Not found", No, false),
            Self::MissingIdempotencyKey => row(
                400,
                "missing-idempotency-key",
                "Idempotency-Key required",
                No,
                false,
            ),
            Self::IdempotencyKeyReused => row(
                422,
                "idempotency-key-reused",
                "Idempotency-Key used with another request",
                No,
                false,
            ),
            Self::ActionInProgress => row(
                409,
                "action-in-progress",
                "Action with this key is in progress",
                Unknown,
                true,
            ),
            Self::OutcomeUnknown => row(
                504,
                "outcome-unknown",
                "Outcome of the action is not known",
                Unknown,
                false,
            ),
            Self::VersionConflict => row(
                412,
                "version-conflict",
                "Changed since the named version",
                No,
                false,
            ),
            Self::MissingVersion => row(428, "missing-version", "If-Match required", No, false),
            Self::InvalidChange => row(422, "invalid-change", "Invalid change", No, false),
            Self::HeadersTooLarge => row(
                431,
                "headers-too-large",
                "Request headers too large",
                No,
                false,
            ),
            Self::BodyTooLarge => row(413, "body-too-large", "Request body too large", No, false),
            Self::RequestTimeout => row(
                408,
                "request-timeout",
                "Request not received in time",
                No,
                false,
            ),
            Self::NoEndpoint => row(503, "no-endpoint", "No usable endpoint", No, true),
            Self::NoCapacity => row(503, "no-capacity", "No free capacity", No, true),
            Self::Shed => row(503, "shed", "Refused under pressure", No, true),
            Self::CrossRegionLimit => row(
                503,
                "cross-region-limit",
                "Cross-region limit reached",
                No,
                true,
            ),
            Self::Draining => row(503, "draining", "Entry is stopping", No, true),
            Self::NoQuorum => row(503, "no-quorum", "Control replicas unavailable", No, true),
            Self::DeadlineBeforeDispatch => row(
                503,
                "deadline-before-dispatch",
                "Deadline passed before dispatch",
                No,
                true,
            ),
            Self::DeadlineExceeded => row(
                504,
                "deadline-exceeded",
                "Deadline exceeded",
                Unknown,
                false,
            ),
            Self::UpstreamFailed => row(502, "upstream-failed", "Endpoint failed", Unknown, false),
            Self::Internal => row(500, "internal", "Internal error", Unknown, false),
            Self::OverAllowance => row(
                429,
                "over-allowance",
                "Allowance of the workspace used up",
                No,
                true,
            ),
        }
    }

    /// Whether it is certain that a request with this error has not run.
    pub fn has_not_run(self) -> bool {
        self.row().can_have_run == CanHaveRun::No
    }

    /// Finds a kind by the stable name in its row.
    pub fn from_name(name: &str) -> Option<ErrorKind> {
        Self::ALL.into_iter().find(|kind| kind.row().name == name)
    }
}

impl fmt::Display for ErrorKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.row().title)
    }
}

impl std::error::Error for ErrorKind {}
