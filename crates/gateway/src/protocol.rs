use actix_web::http::header::HeaderMap;
use mangospindle_client::ResponseHead;
use mangospindle_dispatch::{EndpointNotices, LoadReading};
use std::fmt;
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

/// Credentials in the headers of a caller's request.
#[derive(Clone, PartialEq, Eq)]
pub enum Credentials {
    /// There are none.
    None,
    /// The key of a workspace. Not part of the debug output, so that it cannot reach a log.
    Key(Vec<u8>),
    /// They are ambiguous or of another scheme.
    Unusable,
}

impl fmt::Debug for Credentials {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Credentials::None => "None",
            Credentials::Key(_) => "Key",
            Credentials::Unusable => "Unusable",
        })
    }
}

/// Names and formats of the headers exchanged between callers, entries and endpoints.
pub trait Protocol: 'static {
    /// Parses the headers of a caller's request.
    fn request_metadata(&self, headers: &HeaderMap) -> RequestMetadata;

    /// Finds the credentials in the headers of a caller's request.
    fn credentials(&self, headers: &HeaderMap) -> Credentials;

    /// Removes all credentials from the headers of a request.
    fn remove_credentials(&self, headers: &mut HeaderMap);

    /// Removes those credentials from the headers of a request that contain a key, in whatever form, and keeps
    /// the others. `is_key` tells whether some bytes are a key.
    fn remove_keys(&self, headers: &mut HeaderMap, is_key: &dyn Fn(&[u8]) -> bool);

    /// Sets the header that tells an endpoint the workspace of a request, whatever the caller sent; removes
    /// it if the request belongs to none.
    fn set_workspace(&self, headers: &mut HeaderMap, workspace: Option<&str>);

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
