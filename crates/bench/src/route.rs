/// How callers find the process that they send a request to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Route {
    /// Through the entries that a lookup names.
    #[default]
    Lookup,
    /// Straight to the endpoints of the service, in turn.
    RoundRobin,
    /// Straight to the endpoint with the least reported load in the nearest region that reports.
    LeastReported,
}
