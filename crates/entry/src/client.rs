//! HTTP/1.1 connections to endpoints and other entries, over the codec of `actix-http`.
//!
//! `awc` builds on the same codec but hides its connections. This module needs them: it counts every
//! connection, knows when each one last proved alive, and gives one back only after the whole answer.
//!
//! Invariants:
//! - One request is on a connection at a time.
//! - A connection is reused only after the whole request was sent and the whole answer was read,
//!   with no byte left over. In every other case it is closed.
//! - An answer whose end cannot be proved by its length or its last chunk is an error.

mod body_error;
mod codec;
mod connection;
mod exchange;
mod exchange_error;
mod lease;
mod pool;
mod request_head;
mod response_head;
mod target;
mod upload;

pub(crate) use body_error::BodyError;
pub(crate) use connection::Connection;
pub(crate) use exchange::Exchange;
pub(crate) use exchange_error::ExchangeError;
pub(crate) use lease::Lease;
pub(crate) use pool::Pool;
pub(crate) use request_head::RequestHead;
pub(crate) use response_head::{BodyFraming, ResponseHead};
pub(crate) use target::Target;
pub(crate) use upload::{BodyStream, Upload};
