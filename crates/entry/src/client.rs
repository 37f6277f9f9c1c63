//! The HTTP client, with [`Target`] as the key of its connection pool.

pub(crate) use crate::target::Target;
pub(crate) use mangospindle_client::{
    BodyError, BodyFraming, BodyStream, Connection, ExchangeError, ExpectedId, RequestHead,
    RequestWriter, ResponseHead,
};

/// Pool of connections to endpoints and to other entries.
pub(crate) type Pool = mangospindle_client::Pool<Target>;

/// Exclusive use of a connection of the pool.
pub(crate) type Lease = mangospindle_client::Lease<Target>;

/// A request and its response on a leased connection.
pub(crate) type Exchange = mangospindle_client::Exchange<Target>;
