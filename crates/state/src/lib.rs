//! The deterministic state machine of the agreed state.
//!
//! The replicated log feeds [`Command`]s to every control replica in the same order. Applying a
//! command reads no clock and draws no random numbers, so that all replicas reach the same state.
//! Changes that entries need are described by [`ConfigChange`]s, which entries apply to their own
//! copy of [`Config`].
//!
//! Invariants:
//! - The version of a [`Config`] grows by one with each [`ConfigChange`] and never goes back.
//! - Each endpoint has at most one owner, and its epoch grows with each change of owner.
//! - A claim is granted at most once for a key until it is released as not run or forgotten.

mod actor;
mod attempt;
mod audit_change;
mod audit_page;
mod audit_record;
mod audit_trail;
mod change_history;
mod changes_since;
mod claim_key;
mod claim_table;
mod command;
mod command_kind;
mod config;
mod config_change;
mod decode_error;
mod entry_status;
mod key_digest;
mod leader_clock;
mod live_claim;
mod outcome;
mod ownership;
mod preferred_owner;
mod recorded_response;
mod released_attempts;
mod request_id;
mod request_log;
mod retired_processes;
mod state;
mod takeover;
mod validate;
mod versioned_profile;
mod wire;

pub use actor::Actor;
pub use attempt::Attempt;
pub use audit_change::AuditChange;
pub use audit_page::AuditPage;
pub use audit_record::AuditRecord;
pub use changes_since::ChangesSince;
pub use claim_key::ClaimKey;
pub use command::Command;
pub use command_kind::CommandKind;
pub use config::Config;
pub use config_change::ConfigChange;
pub use decode_error::DecodeError;
pub use entry_status::EntryStatus;
pub use outcome::{ClaimOutcome, Outcome};
pub use ownership::Ownership;
pub use preferred_owner::preferred_owner;
pub use recorded_response::RecordedResponse;
pub use request_id::RequestId;
pub use state::State;
pub use takeover::Takeover;
pub use versioned_profile::VersionedProfile;
