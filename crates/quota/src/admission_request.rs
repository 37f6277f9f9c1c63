use mangospindle_model::{RegionId, RequestClass, ServiceId};
use std::time::Duration;

/// A request for a slot at an endpoint of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionRequest {
    /// The requested service.
    pub service: ServiceId,
    /// Class of the request.
    pub class: RequestClass,
    /// Home region of the client.
    pub home: RegionId,
    /// Time left until the caller's deadline.
    pub remaining: Duration,
}
