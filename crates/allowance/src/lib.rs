//! Allowances of workspaces, over all entries together.
//!
//! Each entry admits requests on its share of an allowance; shares follow demand. Control replicas
//! sum up what the entries report and tell them the total. No input, output or clock: events and a
//! time go in, decisions and messages come out.

mod deployment_limit;
mod limiter;
mod local_allowance;
mod message;
mod offered_rate;
mod usage_summary;
mod usage_table;
mod workspace_state;

pub use limiter::AllowanceLimiter;
pub use message::{
    EntryUsage, MessageError, PeerUsage, PeerWorkspace, UsageReply, UsageReport, WorkspaceTotal,
};
pub use usage_summary::UsageSummary;
pub use usage_table::{UsageTable, WorkspaceUsage};
