use crate::CommandKind;
use crate::validate::validate_bootstrap;
use crate::{
    AuditPage, ChangesSince, ClaimKey, ClaimOutcome, Command, Config, DecodeError, Outcome,
};
use mangospindle_model::ErrorKind;

/// The replicated state.
#[derive(Clone, Debug, Default)]
pub struct State {
    config: Config,
    applied_index: u64,
}

impl State {
    /// Creates the state before the first command.
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies the command at a log index. Indexes grow; a command at or below
    /// [`State::applied_index`] is not applied again.
    pub fn apply(&mut self, index: u64, command: &Command) -> Outcome {
        self.applied_index = self.applied_index.max(index);
        if let CommandKind::Bootstrap { topology, profiles } = &command.kind
            && self.config.version == 0
            && validate_bootstrap(topology, profiles).is_ok()
        {
            self.config = Config::bootstrap(topology.clone(), profiles.clone());
            return Outcome::Done { version: 1 };
        }
        Outcome::Refused {
            kind: ErrorKind::Internal,
            detail: "not implemented yet".to_string(),
            current_version: None,
        }
    }

    /// Index of the last command that was applied.
    pub fn applied_index(&self) -> u64 {
        self.applied_index
    }

    /// The configuration.
    pub fn config(&self) -> &Config {
        &self.config
    }

    /// What a holder of the configuration at `version` needs to reach the present one.
    pub fn changes_since(&self, _version: u64) -> ChangesSince<'_> {
        ChangesSince::Full(&self.config)
    }

    /// State of the action with a key; never [`ClaimOutcome::Granted`].
    pub fn claim(&self, _key: &ClaimKey) -> ClaimOutcome {
        ClaimOutcome::NotFound
    }

    /// Audit records after a sequence number (0 for the oldest), at most `limit`.
    pub fn audit(&self, _after: u64, _limit: usize) -> AuditPage {
        AuditPage {
            records: Vec::new(),
            first_available: 1,
            last: 0,
        }
    }

    /// Whether a [`CommandKind::Expire`](crate::CommandKind::Expire) has work to do now.
    pub fn needs_expire(&self) -> bool {
        false
    }

    /// Encodes the whole state as a snapshot. The same state gives the same bytes.
    pub fn encode(&self) -> Vec<u8> {
        Vec::new()
    }

    /// Decodes a snapshot.
    pub fn decode(_bytes: &[u8]) -> Result<Self, DecodeError> {
        Err(DecodeError::UnknownFormat(0))
    }
}
