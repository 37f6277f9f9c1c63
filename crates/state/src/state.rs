use crate::audit_trail::AuditTrail;
use crate::change_history::ChangeHistory;
use crate::claim_table::ClaimTable;
use crate::leader_clock::LeaderClock;
use crate::released_attempts::ReleasedAttempts;
use crate::request_outcomes::RequestOutcomes;
use crate::retired_processes::RetiredProcesses;
use crate::wire::SnapshotWire;
use crate::{
    AuditPage, ChangesSince, ClaimKey, ClaimOutcome, Config, DecodeError, EncodedAuditRecord,
    RetainedBytes,
};

mod apply;
mod claims;
mod config_changes;
mod membership;
mod operator;
mod ownership;
mod routes;

/// The replicated state.
#[derive(Clone, Debug, Default)]
pub struct State {
    pub(crate) config: Config,
    pub(crate) applied_index: u64,
    pub(crate) clock: LeaderClock,
    pub(crate) history: ChangeHistory,
    pub(crate) requests: RequestOutcomes,
    pub(crate) audit: AuditTrail,
    pub(crate) claims: ClaimTable,
    pub(crate) released: ReleasedAttempts,
    pub(crate) retired: RetiredProcesses,
    /// Elapsed leader time at which the ownership of each endpoint last changed.
    pub(crate) owned_since_ms: Vec<u64>,
    /// Highest version of all deleted profiles. New profiles start above it, so that a version of a
    /// deleted profile never refers to a later profile of the same name.
    pub(crate) deleted_profile_version: u64,
    /// The route table as the operator sent it.
    pub(crate) route_document: String,
}

impl State {
    /// Creates the empty state before the first command.
    pub fn new() -> Self {
        Self::default()
    }

    /// Log index of the last command that was applied.
    pub fn applied_index(&self) -> u64 {
        self.applied_index
    }

    /// The configuration.
    pub fn config(&self) -> &Config {
        &self.config
    }

    /// The route table as the operator sent it; empty before the first one.
    pub fn route_document(&self) -> &str {
        &self.route_document
    }

    /// The update that a watcher with the configuration at `version` needs to reach the current
    /// one.
    pub fn changes_since(&self, version: u64) -> ChangesSince<'_> {
        let missing = self.config.version.checked_sub(version);
        match missing.and_then(|count| self.history.last(count)) {
            Some(changes) => ChangesSince::Changes(changes),
            None => ChangesSince::Full(&self.config),
        }
    }

    /// Looks up the state of the action with a key. Never returns [`ClaimOutcome::Granted`]. The
    /// outcome of an action in progress is unknown if its claimant was replaced or fenced.
    pub fn lookup_claim(&self, key: &ClaimKey) -> ClaimOutcome {
        self.claim_outcome(key)
    }

    /// Returns at most `limit` audit records after a sequence number (0 to start at the oldest), and
    /// fewer if they are large. A page without records means that there are no further ones.
    pub fn audit(&self, after: u64, limit: usize) -> AuditPage {
        self.audit.page(after, limit)
    }

    /// Returns the audit records after a sequence number, up to `max_bytes` but at least one if there
    /// are any.
    pub fn encoded_audit(&self, after: u64, max_bytes: usize) -> Vec<EncodedAuditRecord> {
        self.audit.encoded(after, max_bytes).cloned().collect()
    }

    /// Memory of the past changes that the state holds.
    pub fn retained_bytes(&self) -> RetainedBytes {
        RetainedBytes {
            audit_trail: self.audit.records.bytes(),
            change_history: self.history.bytes(),
        }
    }

    /// Whether a [`CommandKind::Expire`](crate::CommandKind::Expire) would remove anything now. One
    /// command removes a bounded number of claims and digests. It should be proposed at least every
    /// two minutes even if nothing has expired, because the elapsed leader time is accumulated from
    /// the times of commands.
    pub fn has_expired_items(&self) -> bool {
        let now_ms = self.clock.elapsed_ms;
        self.claims.has_expired_items(now_ms)
            || self.requests.has_expired_items(now_ms)
            || self.released.has_expired_items(now_ms)
    }

    /// Encodes the whole state as a snapshot. The same state gives the same bytes.
    pub fn encode(&self) -> Vec<u8> {
        SnapshotWire::from(self).encode()
    }

    /// Decodes a snapshot.
    ///
    /// # Errors
    ///
    /// Returns a [`DecodeError`] if the snapshot is malformed, has an unsupported format or is
    /// inconsistent.
    pub fn decode(bytes: &[u8]) -> Result<Self, DecodeError> {
        State::try_from(SnapshotWire::decode(bytes)?)
    }
}
