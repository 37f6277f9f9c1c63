//! HTTP/1.1 connections to endpoints and other entries, over the codec of `actix-http`.
//!
//! `awc` builds on the same codec but hides its connections. This module needs them: it counts every
//! connection, knows when each one last proved alive, and gives one back only after the whole answer.
//!
//! Invariants:
//! - One request is on a connection at a time.
//! - A connection is reused only after the whole request was sent and the whole answer was read,
//!   with no byte left over. In every other case it is closed.
//! - An answer whose end cannot be proved by its length or its last chunk is an error, unless the
//!   caller accepts answers that end with their connection.

mod body_error;
mod codec;
mod connection;
mod exchange;
mod exchange_error;
mod headers;
mod lease;
mod pool;
mod request_head;
mod request_writer;
mod response_head;

pub use body_error::BodyError;
pub use connection::Connection;
pub use exchange::{Exchange, HeadResult};
pub use exchange_error::ExchangeError;
pub use headers::{end_to_end_headers, total_header_bytes};
pub use lease::Lease;
pub use pool::Pool;
pub use request_head::RequestHead;
pub use request_writer::{BodyStream, RequestWriter};
pub use response_head::{BodyFraming, ResponseHead};
