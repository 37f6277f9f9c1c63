use super::duration_ms;
use crate::admin::{DrainReport, EntryReport, ReplicaReport, StatusReport};
use serde::{Deserialize, Serialize};

/// Status of a control replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[allow(
    missing_docs,
    reason = "the fields have the names and meanings of `ReplicaReport`"
)]
pub struct ReplicaReportWire {
    pub name: String,
    pub role: String,
    pub match_index: Option<u64>,
    pub last_heard_ms: Option<u64>,
}

impl From<&ReplicaReport> for ReplicaReportWire {
    fn from(report: &ReplicaReport) -> Self {
        ReplicaReportWire {
            name: report.name.clone(),
            role: report.role.as_str().to_string(),
            match_index: report.match_index,
            last_heard_ms: report.last_contact.map(duration_ms),
        }
    }
}

/// Status of an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[allow(
    missing_docs,
    reason = "the fields have the names and meanings of `EntryReport`"
)]
pub struct EntryReportWire {
    pub name: String,
    pub applied_version: Option<u64>,
    pub last_heard_ms: Option<u64>,
}

impl From<&EntryReport> for EntryReportWire {
    fn from(report: &EntryReport) -> Self {
        EntryReportWire {
            name: report.name.clone(),
            applied_version: report.applied_version,
            last_heard_ms: report.last_contact.map(duration_ms),
        }
    }
}

/// Drain progress of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[allow(
    missing_docs,
    reason = "the fields have the names and meanings of `DrainReport`"
)]
pub struct DrainReportWire {
    pub name: String,
    pub in_progress: Option<u32>,
    pub drain_time_ms: Option<u64>,
}

impl From<&DrainReport> for DrainReportWire {
    fn from(progress: &DrainReport) -> Self {
        DrainReportWire {
            name: progress.name.clone(),
            in_progress: progress.in_progress,
            drain_time_ms: progress.drain_time.map(duration_ms),
        }
    }
}

/// Status of the system, as one control replica knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[allow(
    missing_docs,
    reason = "the fields have the names and meanings of `StatusReport`"
)]
pub struct StatusWire {
    pub replica: String,
    pub ready: bool,
    pub leader: Option<String>,
    pub term: u64,
    pub commit_index: u64,
    pub applied_index: u64,
    pub version: u64,
    pub confirmation_age_ms: Option<u64>,
    pub replicas: Vec<ReplicaReportWire>,
    pub entries: Vec<EntryReportWire>,
    pub drains: Vec<DrainReportWire>,
}

impl From<&StatusReport> for StatusWire {
    fn from(report: &StatusReport) -> Self {
        StatusWire {
            replica: report.replica.clone(),
            ready: report.ready,
            leader: report.leader.clone(),
            term: report.term,
            commit_index: report.commit_index,
            applied_index: report.applied_index,
            version: report.version,
            confirmation_age_ms: report.confirmation_age.map(duration_ms),
            replicas: report.replicas.iter().map(|r| r.into()).collect(),
            entries: report.entries.iter().map(|r| r.into()).collect(),
            drains: report.drains.iter().map(|r| r.into()).collect(),
        }
    }
}
