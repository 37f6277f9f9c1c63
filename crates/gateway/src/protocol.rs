use actix_web::http::header::HeaderMap;
use mangospindle_client::ResponseHead;
use mangospindle_dispatch::LoadReading;
use std::time::Duration;

/// What the headers of a caller's request say.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestMetadata {
    /// Identifier of the request.
    pub id: Option<String>,
    /// Time that the caller waits.
    pub deadline: Option<Duration>,
    /// The object that the request concerns.
    pub affinity_key: Option<String>,
}

/// What the head of an endpoint's answer says.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ResponseMetadata {
    /// The endpoint states that it did not run the request.
    pub not_run: bool,
    /// Another endpoint has the address; the request did not run.
    pub misdirected: bool,
    /// Load of the endpoint.
    pub load: Option<LoadReading>,
}

/// Names and formats of the headers between callers, entries and endpoints.
pub trait Protocol: 'static {
    /// Reads a caller's request.
    fn request_metadata(&self, headers: &HeaderMap) -> RequestMetadata;

    /// Marks a request for one endpoint with the time that is left.
    fn set_request_headers(&self, headers: &mut HeaderMap, instance: &str, time_left: Duration);

    /// Reads the head of an endpoint's answer.
    fn response_metadata(&self, head: &ResponseHead) -> ResponseMetadata;
}
