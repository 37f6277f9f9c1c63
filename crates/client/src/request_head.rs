use actix_web::http::Method;
use actix_web::http::header::HeaderMap;

/// The start of a request to an endpoint or to another entry.
#[derive(Clone, Debug)]
pub struct RequestHead {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Headers without `Host`, lengths and hop-by-hop headers.
    pub headers: HeaderMap,
}
