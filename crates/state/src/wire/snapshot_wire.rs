use super::{
    AuditTrailWire, ConfigWire, LiveClaimWire, RecordedOutcomeWire, SNAPSHOT_FORMAT,
    WORKSPACE_SNAPSHOT_FORMAT,
};
use crate::audit_trail::AuditTrail;
use crate::change_history::ChangeHistory;
use crate::claim_table::{ClaimTable, DigestGroup};
use crate::key_digest::KeyDigest;
use crate::leader_clock::LeaderClock;
use crate::released_attempts::{ReleasedAttempts, SequenceFloor};
use crate::request_outcomes::RequestOutcomes;
use crate::retired_processes::RetiredProcesses;
use crate::{Attempt, DecodeError, RequestId, State};
use mangospindle_model::{EntryId, WorkspaceTable};
use serde::{Deserialize, Serialize};

/// A snapshot of the whole state.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct SnapshotWire {
    applied_index: u64,
    elapsed_ms: u64,
    last_leader_time_ms: u64,
    config: ConfigWire,
    owned_since_ms: Vec<u64>,
    deleted_profile_version: u64,
    route_document: String,
    retired: Vec<(EntryId, Vec<u64>)>,
    requests: Vec<(RequestId, RecordedOutcomeWire)>,
    audit_last: u64,
    audit: AuditTrailWire,
    claims: Vec<(KeyDigest, LiveClaimWire)>,
    digests: Vec<(u64, Vec<KeyDigest>)>,
    released: Vec<(u64, Attempt)>,
    released_floors: Vec<(EntryId, SequenceFloor)>,
    /// Follows the other fields in snapshots of [`WORKSPACE_SNAPSHOT_FORMAT`].
    #[serde(skip)]
    workspaces: Option<WorkspaceTable>,
}

impl SnapshotWire {
    pub(crate) fn encode(&self) -> Vec<u8> {
        let bytes = match &self.workspaces {
            None => postcard::to_stdvec(&(SNAPSHOT_FORMAT, self)),
            Some(w) => postcard::to_stdvec(&(WORKSPACE_SNAPSHOT_FORMAT, self, w)),
        };
        // Encoding into memory fails only for sequences of unknown length. There are none here.
        bytes.expect("the length of every sequence is known")
    }

    pub(crate) fn decode(bytes: &[u8]) -> Result<Self, DecodeError> {
        let malformed = |e: postcard::Error| DecodeError::Malformed(e.to_string());
        let (format, rest) = postcard::take_from_bytes::<u32>(bytes).map_err(malformed)?;
        if ![SNAPSHOT_FORMAT, WORKSPACE_SNAPSHOT_FORMAT].contains(&format) {
            return Err(DecodeError::UnknownFormat(format));
        }
        let (mut snapshot, mut rest): (Self, _) =
            postcard::take_from_bytes(rest).map_err(malformed)?;
        if format == WORKSPACE_SNAPSHOT_FORMAT {
            let (workspaces, after) = postcard::take_from_bytes(rest).map_err(malformed)?;
            snapshot.workspaces = Some(workspaces);
            rest = after;
        }
        match rest.len() {
            0 => Ok(snapshot),
            n => Err(DecodeError::Malformed(format!(
                "{n} bytes follow the snapshot"
            ))),
        }
    }
}

impl From<&State> for SnapshotWire {
    fn from(state: &State) -> Self {
        let claims = state.claims.live().iter();
        let groups = state.claims.groups().iter();
        let requests = state.requests.iter();
        SnapshotWire {
            applied_index: state.applied_index,
            elapsed_ms: state.clock.elapsed_ms,
            last_leader_time_ms: state.clock.last_wall_ms,
            config: ConfigWire::from(&state.config),
            owned_since_ms: state.owned_since_ms.clone(),
            deleted_profile_version: state.deleted_profile_version,
            route_document: state.route_document.clone(),
            retired: (state.retired.0.iter())
                .map(|(entry, list)| (*entry, list.iter().copied().collect()))
                .collect(),
            requests: requests
                .filter_map(|(id, r)| Some((id.clone(), r.try_into().ok()?)))
                .collect(),
            audit_last: state.audit.last,
            audit: AuditTrailWire::from(&state.audit.records),
            claims: claims.map(|(k, c)| (*k, c.into())).collect(),
            digests: groups.map(|g| (g.newest_ms, g.digests.clone())).collect(),
            released: state.released.order().iter().copied().collect(),
            released_floors: (state.released.floors().iter())
                .map(|(entry, floor)| (*entry, *floor))
                .collect(),
            workspaces: has_had_workspaces(state).then(|| state.config.routes.workspaces.clone()),
        }
    }
}

/// Whether the state holds workspaces or a record of a change of them.
fn has_had_workspaces(state: &State) -> bool {
    let mut records = state.audit.records.iter();
    !state.config.routes.workspaces.is_empty() || records.any(|r| r.changes_workspaces())
}

impl TryFrom<SnapshotWire> for State {
    type Error = DecodeError;

    fn try_from(wire: SnapshotWire) -> Result<Self, Self::Error> {
        let mut config = crate::Config::try_from(wire.config)?;
        config.routes.workspaces = wire.workspaces.unwrap_or_default();
        let inconsistent = |detail: String| Err(DecodeError::Inconsistent(detail));
        if wire.owned_since_ms.len() != config.topology.endpoints.len() {
            return inconsistent(
                "the number of ownership times differs from that of endpoints".to_string(),
            );
        }
        if wire.owned_since_ms.iter().any(|t| *t > wire.elapsed_ms) {
            return inconsistent("an ownership time is after the elapsed leader time".to_string());
        }
        if wire.audit.total > wire.audit_last {
            return inconsistent("there are more audit records than sequence numbers".to_string());
        }
        let requests: Result<Vec<_>, String> = (wire.requests.into_iter())
            .map(|(id, r)| Ok((id, r.try_into()?)))
            .collect();
        let requests = requests.map_err(DecodeError::Inconsistent)?;
        let groups = wire.digests.into_iter();
        let groups = groups.map(|(newest_ms, digests)| DigestGroup { newest_ms, digests });
        let claims = wire.claims.into_iter().map(|(k, c)| (k, c.into()));
        Ok(State {
            config,
            applied_index: wire.applied_index,
            clock: LeaderClock {
                elapsed_ms: wire.elapsed_ms,
                last_wall_ms: wire.last_leader_time_ms,
            },
            history: ChangeHistory::default(),
            requests: RequestOutcomes::from_parts(requests),
            audit: AuditTrail {
                records: wire.audit.retained,
                last: wire.audit_last,
            },
            claims: ClaimTable::from_parts(claims.collect(), groups.collect()),
            released: ReleasedAttempts::from_parts(
                wire.released.into_iter().collect(),
                wire.released_floors.into_iter().collect(),
            ),
            retired: RetiredProcesses(
                (wire.retired.into_iter())
                    .map(|(entry, list)| (entry, list.into_iter().collect()))
                    .collect(),
            ),
            owned_since_ms: wire.owned_since_ms,
            deleted_profile_version: wire.deleted_profile_version,
            route_document: wire.route_document,
        })
    }
}
