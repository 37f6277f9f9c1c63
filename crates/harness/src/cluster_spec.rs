use std::time::Duration;

/// The example deployment that a cluster is built from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Example {
    /// `examples/cantabrica`.
    Cantabrica,
    /// `examples/cristallo`.
    Cristallo,
}

impl Example {
    /// Name of the directory under `examples/`.
    pub fn directory(self) -> &'static str {
        match self {
            Example::Cantabrica => "cantabrica",
            Example::Cristallo => "cristallo",
        }
    }

    /// First port in the example file.
    pub(crate) fn first_port(self) -> u16 {
        match self {
            Example::Cantabrica => 21_000,
            Example::Cristallo => 23_000,
        }
    }

    /// One-way latency between clients and their home region.
    pub fn client_latency(self) -> Duration {
        match self {
            Example::Cantabrica => Duration::from_millis(8),
            Example::Cristallo => Duration::from_millis(1),
        }
    }

    /// One-way latency between the failure domains of a region.
    pub fn domain_latency(self) -> Duration {
        match self {
            Example::Cantabrica => Duration::from_micros(500),
            Example::Cristallo => Duration::from_millis(1),
        }
    }
}

/// What a cluster consists of.
#[derive(Clone, Debug)]
pub struct ClusterSpec {
    /// The deployment.
    pub example: Example,
    /// Number of control replicas, at most 5.
    pub control_replicas: u16,
    /// Whether links have the latencies of the deployment; without it they have none.
    pub latencies: bool,
    /// Processing time of endpoints, in milliseconds.
    pub service_time_ms: u64,
    /// Replacements in the deployment file, as pairs of old and new text.
    pub replace: Vec<(String, String)>,
}

impl ClusterSpec {
    /// Five control replicas, no latencies, 20 ms of processing time.
    pub fn new(example: Example) -> Self {
        ClusterSpec {
            example,
            control_replicas: 5,
            latencies: false,
            service_time_ms: 20,
            replace: Vec::new(),
        }
    }
}
