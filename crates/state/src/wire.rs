//! The encoding of snapshots.
//!
//! Snapshots use dedicated types wherever a public type is not plain data, so that a change to a
//! public type does not silently change the format. Plain data (keys, topology, statuses,
//! ownership) is encoded directly. All maps are written in the order of their keys, so that the
//! same state gives the same bytes. Any change to the layout needs a new [`SNAPSHOT_FORMAT`].

mod audit_wire;
mod change_wire;
mod claim_wire;
mod config_wire;
mod outcome_wire;
mod profile_wire;
mod snapshot_wire;

pub(crate) use audit_wire::{AuditRecordWire, AuditTrailWire};
pub(crate) use change_wire::ChangeWire;
pub(crate) use claim_wire::LiveClaimWire;
pub(crate) use config_wire::ConfigWire;
pub(crate) use outcome_wire::RecordedOutcomeWire;
pub(crate) use profile_wire::VersionedProfileWire;
pub(crate) use snapshot_wire::SnapshotWire;

/// Format number of snapshots of states that never had workspaces.
pub(crate) const SNAPSHOT_FORMAT: u32 = 2;

/// Format number of snapshots that may contain workspaces: the other format, followed by the
/// workspaces. Earlier builds cannot read it.
pub(crate) const WORKSPACE_SNAPSHOT_FORMAT: u32 = 3;
