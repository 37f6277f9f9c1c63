/// What a health response of an endpoint, or the platform's VM list, says about the endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum EndpointObservation {
    /// The endpoint answered its health check.
    Healthy {
        /// Reported load, from 0 (idle) to 1 (full).
        load: f32,
    },
    /// The endpoint reports that it is leaving.
    Leaving,
    /// The endpoint did not answer its health check.
    Unresponsive,
    /// The VM list says whether the endpoint's VM is leaving.
    VmList {
        /// Whether it is leaving.
        leaving: bool,
    },
}
