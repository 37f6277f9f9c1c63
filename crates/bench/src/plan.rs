use crate::Traffic;
use mangospindle_model::Topology;
use std::net::SocketAddr;
use std::time::Duration;

/// A load to generate.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// The deployment's topology: regions and client ranges.
    pub topology: Topology,
    /// Entries to ask for the first lookup.
    pub entries: Vec<SocketAddr>,
    /// Kinds of traffic.
    pub traffic: Vec<Traffic>,
    /// How long requests are started.
    pub duration: Duration,
    /// Callers in each region, each with an address of its own.
    pub callers_per_region: u16,
    /// Deadline that reads and at-most-once actions carry.
    pub deadline: Duration,
    /// Seed of all random choices.
    pub seed: u64,
}
