use crate::audit_trail::AuditTrail;
use crate::change_history::ChangeHistory;
use crate::claim_table::ClaimTable;
use crate::leader_clock::LeaderClock;
use crate::released_attempts::ReleasedAttempts;
use crate::request_log::RequestLog;
use crate::retired_processes::RetiredProcesses;
use crate::wire::SnapshotWire;
use crate::{AuditPage, ChangesSince, ClaimKey, ClaimOutcome, Config, DecodeError};

mod apply;
mod claims;
mod commit;
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
    pub(crate) requests: RequestLog,
    pub(crate) audit: AuditTrail,
    pub(crate) claims: ClaimTable,
    pub(crate) released: ReleasedAttempts,
    pub(crate) retired: RetiredProcesses,
    /// Elapsed leader time at which the ownership of each endpoint last changed.
    pub(crate) owned_since_ms: Vec<u64>,
    /// Highest version of any profile that was deleted. New profiles start above it, so that a
    /// version of a deleted profile never names another profile of the same name.
    pub(crate) deleted_profile_version: u64,
    /// The table of routes as the operator sent it.
    pub(crate) route_document: String,
}

impl State {
    /// Creates the state before the first command.
    pub fn new() -> Self {
        Self::default()
    }

    /// Index of the last command that was applied.
    pub fn applied_index(&self) -> u64 {
        self.applied_index
    }

    /// The configuration.
    pub fn config(&self) -> &Config {
        &self.config
    }

    /// The table of routes as the operator sent it; empty before the first one.
    pub fn route_document(&self) -> &str {
        &self.route_document
    }

    /// What a holder of the configuration at `version` needs to reach the present one.
    pub fn changes_since(&self, version: u64) -> ChangesSince<'_> {
        let missing = self.config.version.checked_sub(version);
        match missing.and_then(|count| self.history.last(count)) {
            Some(changes) => ChangesSince::Changes(changes),
            None => ChangesSince::Full(&self.config),
        }
    }

    /// State of the action with a key; never [`ClaimOutcome::Granted`]. An action in progress whose
    /// claimant is lost is unknown.
    pub fn lookup_claim(&self, key: &ClaimKey) -> ClaimOutcome {
        self.claim_outcome(key)
    }

    /// Audit records after a sequence number (0 for the oldest), at most `limit`.
    pub fn audit(&self, after: u64, limit: usize) -> AuditPage {
        self.audit.page(after, limit)
    }

    /// Whether a [`CommandKind::Expire`](crate::CommandKind::Expire) has work to do now. One
    /// command does a bounded part of it. It should be proposed at least every two minutes even
    /// without work, because the elapsed leader time is added up from the times of commands.
    pub fn has_expired_items(&self) -> bool {
        let now = self.clock.elapsed_ms;
        self.claims.has_expired_items(now)
            || self.requests.has_expired_items(now)
            || self.released.has_expired_items(now)
    }

    /// Encodes the whole state as a snapshot. The same state gives the same bytes.
    pub fn encode(&self) -> Vec<u8> {
        SnapshotWire::from(self).encode()
    }

    /// Decodes a snapshot.
    pub fn decode(bytes: &[u8]) -> Result<Self, DecodeError> {
        State::try_from(SnapshotWire::decode(bytes)?)
    }
}
