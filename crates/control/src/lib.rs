//! The control replica.
//!
//! An actix actor drives the consensus node, a disk thread and the state machine. Connections are
//! served on the same thread from the state that the actor publishes.
//!
//! Invariants:
//! - Data is synced to disk before it is acknowledged to other replicas or to callers.
//! - After a disk failure, the replica permanently stops participating in the log. The failure is
//!   reported and never retried, because data that the kernel dropped after a failed sync cannot be
//!   written again.
//! - Each response carries the time since the state was last known to be current, computed when the
//!   response is sent.

pub mod admin;
mod audit_export;
mod backend;
mod command;
mod disk;
mod disk_recovery;
mod drain_progress;
mod endpoint_polling;
mod fleet_view;
mod health;
mod http;
mod limits;
mod metrics;
mod operator_handle;
mod options;
mod peers;
mod published_state;
mod replica;
mod run;
mod running_replica;
mod service;
mod vm_list;
mod vm_tracker;
mod wall_clock;

pub use command::{command, run_command};
pub use endpoint_polling::{EndpointListing, EndpointSource};
pub use operator_handle::OperatorHandle;
pub use options::{InitialConfig, ReplicaOptions, ReplicaSet};
pub use run::run;
pub use running_replica::RunningReplica;
pub use vm_tracker::{
    ListedVm, MIN_ABSENT_POLLS, MIN_ABSENT_TIME, MIN_LISTED_PERCENT, VmList, VmState, VmTracker,
};
pub use wall_clock::{SystemWallClock, WallClock};
