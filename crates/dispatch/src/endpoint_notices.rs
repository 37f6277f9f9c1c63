use std::time::Duration;

/// What an endpoint says in a response about the requests that it wants.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EndpointNotices {
    /// Requests per second that the endpoint takes from all entries together, for as long as its
    /// responses say so.
    pub rate_limit: Option<f64>,
    /// Whether the endpoint is about to stop.
    pub leaving: bool,
    /// How long the endpoint wants no request from this entry.
    pub retry_after: Option<Duration>,
}
