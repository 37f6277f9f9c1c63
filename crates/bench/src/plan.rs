use crate::{Route, Traffic};
use mangospindle_model::Topology;
use std::net::SocketAddr;
use std::time::Duration;

/// Usual deadline of uploads; they take as long as the link allows.
pub const UPLOAD_DEADLINE: Duration = Duration::from_secs(60);

/// Usual number of entries that a caller tries for one request.
pub const MAX_TRIED: usize = 3;

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
    /// Deadline that uploads carry.
    pub upload_deadline: Duration,
    /// Entries or endpoints that a caller tries for one request.
    pub max_tried: usize,
    /// How callers find the process that they send a request to.
    pub route: Route,
    /// One-way latency from the clients of a home region (first position) to a region (second
    /// position), which callers wait before each request and after each answer. None if empty.
    pub one_way: Vec<Vec<Duration>>,
    /// Seed of all random choices.
    pub seed: u64,
}
