use actix_web::http::Method;
use actix_web::http::header::HeaderMap;

/// The head of a request to an endpoint or to another entry.
#[derive(Clone, Debug)]
pub struct RequestHead {
    /// Request method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Headers, without `Host`, `Content-Length` and hop-by-hop headers.
    pub headers: HeaderMap,
}
