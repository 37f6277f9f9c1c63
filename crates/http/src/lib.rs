//! Parts of HTTP that several processes share: problem details built from the error table, and
//! conditional reads of JSON documents.

mod conditional_get;
mod problem;
mod problem_body;

pub use conditional_get::ConditionalGet;
pub use problem::{Problem, REQUEST_RUN_HEADER};
pub use problem_body::{PROBLEM_CONTENT_TYPE, ProblemBody};
