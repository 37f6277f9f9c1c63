//! HTTP types shared by several processes: problem details (RFC 9457) built from the error table,
//! conditional requests for JSON documents, the connector of HTTP clients, and the connections of callers.

mod caller_connection;
mod checked_stream;
mod conditional_get;
mod connector;
mod problem;
mod problem_body;

pub use caller_connection::CallerConnection;
pub use checked_stream::CheckedStream;
pub use conditional_get::ConditionalGet;
pub use connector::checked_connector;
pub use problem::{Problem, REQUEST_RUN_HEADER};
pub use problem_body::{PROBLEM_CONTENT_TYPE, ProblemBody};
