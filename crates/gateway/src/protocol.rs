use actix_web::http::header::HeaderMap;
use mangospindle_client::ResponseHead;
use mangospindle_dispatch::{EndpointNotices, LoadReading};
use std::time::Duration;

/// Metadata from the headers of a caller's request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestMetadata {
    /// Request id.
    pub id: Option<String>,
    /// How long the caller waits for the response.
    pub deadline: Option<Duration>,
    /// Key of the object that the request concerns, for affinity.
    pub affinity_key: Option<String>,
}

/// Metadata from the head of an endpoint's response.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ResponseMetadata {
    /// The endpoint declares that it did not run the request.
    pub not_run: bool,
    /// The address now belongs to another endpoint, and the request did not run.
    pub misdirected: bool,
    /// Load reported by the endpoint.
    pub load: Option<LoadReading>,
    /// What the endpoint says about the requests that it wants.
    pub notices: EndpointNotices,
}

/// Names and formats of the headers exchanged between callers, entries and endpoints.
pub trait Protocol: 'static {
    /// Parses the headers of a caller's request.
    fn request_metadata(&self, headers: &HeaderMap) -> RequestMetadata;

    /// Sets the headers that tell an endpoint which instance is expected and how much time is left.
    fn set_request_headers(&self, headers: &mut HeaderMap, instance: &str, time_left: Duration);

    /// Sets the header that tells the entry to which a request is relayed how much time is left.
    fn set_time_left(&self, headers: &mut HeaderMap, time_left: Duration);

    /// The instance that responded to a health check, if it tells that.
    fn health_instance<'a>(&self, head: &'a ResponseHead) -> Option<&'a str>;

    /// How long an endpoint stays cold according to its response to a health check, if it tells that.
    fn health_cold_for(&self, head: &ResponseHead) -> Option<Duration>;

    /// Parses the head of an endpoint's response.
    fn response_metadata(&self, head: &ResponseHead) -> ResponseMetadata;
}
