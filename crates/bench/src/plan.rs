use crate::{Route, Traffic};
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
    /// How callers find the process that they send a request to.
    pub route: Route,
    /// One-way latency from the clients of a home region (first position) to a region (second
    /// position), which callers wait before each request and after each answer. None if empty.
    pub one_way: Vec<Vec<Duration>>,
    /// Seed of all random choices.
    pub seed: u64,
}
