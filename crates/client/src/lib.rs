//! HTTP/1.1 client connections to endpoints and other entries, based on the codec of `actix-http`.
//!
//! `awc` uses the same codec but hides its connections. This crate needs access to them: it counts
//! connections, tracks when each one was last validated, and reuses one only after a complete
//! response.
//!
//! Invariants:
//! - A connection carries one request at a time.
//! - A connection is reused only after the complete request was sent and the complete response was
//!   read, with no byte left over. Otherwise it is closed.
//! - A response with the id of another request is skipped.
//! - A response in whose head the name of a field is not a token is an error.
//! - A response whose end is marked neither by its length nor by its last chunk is an error, unless
//!   the caller accepts close-delimited responses. Those end with a connection that the peer ends in
//!   order; a reset truncates them.

mod body_error;
mod codec;
mod connection;
mod connection_requirement;
mod exchange;
mod exchange_error;
mod expected_id;
mod head_check;
mod headers;
mod lease;
mod pool;
mod pool_lookup;
mod request_head;
mod request_writer;
mod response_head;

pub use body_error::BodyError;
pub use connection::Connection;
pub use connection_requirement::ConnectionRequirement;
pub use exchange::{Exchange, HeadResult};
pub use exchange_error::ExchangeError;
pub use expected_id::ExpectedId;
pub use head_check::{CheckedHead, check_head};
pub use headers::{end_to_end_headers, total_header_bytes};
pub use lease::Lease;
pub use pool::Pool;
pub use pool_lookup::PoolLookup;
pub use request_head::RequestHead;
pub use request_writer::{BodyStream, RequestWriter};
pub use response_head::{BodyFraming, ResponseHead};
