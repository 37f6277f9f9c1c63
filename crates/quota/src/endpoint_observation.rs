/// Result of a health check of an endpoint, or the state of its VM in the platform's VM list.
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
    /// State of the endpoint's VM in the VM list.
    VmList {
        /// Whether the VM is leaving.
        leaving: bool,
    },
}
