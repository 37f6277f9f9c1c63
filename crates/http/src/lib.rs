//! Error answers of all HTTP interfaces, built from the closed table of
//! [`ErrorKind`](mangospindle_model::ErrorKind).

mod problem;
mod problem_body;

pub use problem::{Problem, REQUEST_RUN_HEADER};
pub use problem_body::{PROBLEM_CONTENT_TYPE, ProblemBody};
