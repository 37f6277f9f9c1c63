//! JSON types of the administration API.
//!
//! They are separate from the types of the model, so that a change to the model cannot change the
//! API unintentionally. Items are identified by name, durations are integers in milliseconds, and
//! requests with unknown fields are rejected.

mod action_wire;
mod audit_wire;
mod change_result_wire;
mod endpoint_wire;
mod entry_wire;
mod profile_wire;
mod region_wire;
mod service_wire;
mod status_wire;
mod workspace_page_wire;
mod workspace_wire;

pub use action_wire::ActionWire;
pub use audit_wire::{AuditPageWire, AuditRecordWire};
pub use change_result_wire::ChangeResultWire;
pub use endpoint_wire::{EndpointWire, NewEndpointWire, SetEndpointDrainWire};
pub use entry_wire::{EntryWire, FenceVmWire, NewEntryWire, format_incarnation, parse_incarnation};
pub use profile_wire::{HedgingWire, ProfileWire, VersionedProfileWire, WeightsWire};
pub use region_wire::{RegionWire, SetRegionLimitWire};
pub use service_wire::{AssignProfileWire, ServiceWire};
pub use status_wire::{DrainReportWire, EntryReportWire, ReplicaReportWire, StatusWire};
pub use workspace_page_wire::WorkspacePageWire;
pub use workspace_wire::{AllowanceWire, WorkspaceUsageWire, WorkspaceWire};

use std::time::Duration;

/// Converts a duration to whole milliseconds, rounding down.
pub(super) fn duration_ms(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
