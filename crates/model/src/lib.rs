//! Shared vocabulary of the system: keys, topology, profiles, request classes, error kinds and
//! the clock.
//!
//! This crate has no sockets, files, threads or clock reads. Everything in it is plain data, so
//! that the decision crates can be run, fuzzed and benchmarked without a process around them.

mod can_have_run;
mod client_range;
mod clock;
mod endpoint;
mod entry;
mod error_kind;
mod failure_domain;
mod keys;
mod link;
mod profile;
mod profile_error;
mod region;
mod rendezvous;
mod request_class;
mod route_table;
mod service;
mod topology;
mod topology_error;
mod weights;
mod workspace_table;

pub use can_have_run::CanHaveRun;
pub use client_range::ClientRange;
pub use clock::{Clock, MonotonicClock};
pub use endpoint::Endpoint;
pub use entry::Entry;
pub use error_kind::{ErrorKind, ErrorRow};
pub use failure_domain::FailureDomain;
pub use keys::{EndpointId, EntryId, FailureDomainId, RegionId, ServiceId};
pub use link::Link;
pub use profile::{Hedging, Profile};
pub use profile_error::ProfileError;
pub use region::Region;
pub use rendezvous::rendezvous_score;
pub use request_class::RequestClass;
pub use route_table::{
    EndpointService, RequestLimits, Route, RouteError, RouteFault, RouteKey, RouteTable,
    RouteTableChange, RouteTableError, RouteTarget,
};
pub use service::Service;
pub use topology::Topology;
pub use topology_error::TopologyError;
pub use weights::Weights;
pub use workspace_table::{
    Allowance, KeyDigest, KeyIndex, Workspace, WorkspaceError, WorkspaceFault, WorkspaceTable,
    WorkspaceTableChange,
};
