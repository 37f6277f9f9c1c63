//! The HTTP client, with the targets of this process.

pub(crate) use crate::target::Target;
pub(crate) use mangospindle_client::{
    BodyError, BodyFraming, BodyStream, Connection, ExchangeError, RequestHead, RequestWriter,
    ResponseHead,
};

/// Connections of this process.
pub(crate) type Pool = mangospindle_client::Pool<Target>;

/// The right to use one of them.
pub(crate) type Lease = mangospindle_client::Lease<Target>;

/// A request and its answer on one of them.
pub(crate) type Exchange = mangospindle_client::Exchange<Target>;
