//! HTTP types shared by several processes: problem details (RFC 9457) built from the error table,
//! conditional requests for JSON documents, and the connections of callers.

mod caller_connection;
mod conditional_get;
mod problem;
mod problem_body;

pub use caller_connection::CallerConnection;
pub use conditional_get::ConditionalGet;
pub use problem::{Problem, REQUEST_RUN_HEADER};
pub use problem_body::{PROBLEM_CONTENT_TYPE, ProblemBody};
