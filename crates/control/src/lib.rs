//! The control replica.
//!
//! An actix actor drives the consensus node, a disk thread and the state machine. Connections are
//! served on the same thread from the state that the actor publishes.
//!
//! Invariants:
//! - Data is synced to disk before it is acknowledged to other replicas or to callers.
//! - After a disk failure, the replica stops participating in the log. It returns with what it reads
//!   back from the disk, and what it writes again counts as durable; nothing in memory does, because
//!   the kernel may have dropped the data of a failed sync.
//! - An operator's order without a version does not take effect after a newer one for the same subject,
//!   however late it arrives at the leader.
//! - Each response carries the time since the state was last known to be current, computed when the
//!   response is sent.

pub mod admin;
mod audit_export;
mod backend;
mod command;
mod command_support;
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
mod order_origin;
mod order_subject;
mod peers;
mod proposer;
mod published_state;
mod replica;
mod report_catch_up;
mod report_exchange;
mod run;
mod running_replica;
mod service;
mod usage_exchange;
mod usage_metrics;
mod usage_reader;
mod vm_list;
mod vm_tracker;
mod wall_clock;

pub use command::{command, run_command};
pub use endpoint_polling::{EndpointListing, EndpointSource};
pub use operator_handle::OperatorHandle;
pub use options::{InitialConfig, ReplicaOptions, ReplicaSet};
pub use order_origin::OrderOrigin;
pub use run::run;
pub use running_replica::RunningReplica;
pub use vm_tracker::{
    ListedVm, MIN_ABSENT_POLLS, MIN_ABSENT_TIME, MIN_LISTED_PERCENT, VmList, VmState, VmTracker,
};
pub use wall_clock::{SystemWallClock, WallClock};
