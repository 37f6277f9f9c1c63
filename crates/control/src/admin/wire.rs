//! JSON types of the administration API.
//!
//! They are separate from the types of the model, so that a change of the model does not change
//! the API unnoticed. Items are named by their names, durations are numbers of milliseconds, and
//! unknown fields of requests are refused.

mod action_wire;
mod audit_wire;
mod change_result_wire;
mod endpoint_wire;
mod entry_wire;
mod profile_wire;
mod region_wire;
mod service_wire;
mod status_wire;

pub use action_wire::ActionWire;
pub use audit_wire::{AuditPageWire, AuditRecordWire};
pub use change_result_wire::ChangeResultWire;
pub use endpoint_wire::{EndpointWire, NewEndpointWire, SetEndpointDrainWire};
pub use entry_wire::{EntryWire, FenceVmWire, NewEntryWire, format_incarnation, parse_incarnation};
pub use profile_wire::{HedgingWire, ProfileWire, VersionedProfileWire, WeightsWire};
pub use region_wire::{RegionWire, SetRegionLimitWire};
pub use service_wire::{AssignProfileWire, ServiceWire};
pub use status_wire::{DrainReportWire, EntryReportWire, ReplicaReportWire, StatusWire};

use std::time::Duration;

/// A duration as milliseconds; fractions are dropped.
pub(super) fn ms(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
