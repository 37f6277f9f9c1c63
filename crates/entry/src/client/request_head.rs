use actix_web::http::Method;
use actix_web::http::header::HeaderMap;

/// The start of a request to an endpoint or to another entry.
#[derive(Clone, Debug)]
pub(crate) struct RequestHead {
    pub(crate) method: Method,
    /// Path and query.
    pub(crate) path: String,
    /// Headers without `Host`, lengths and hop-by-hop headers.
    pub(crate) headers: HeaderMap,
}
