//! The deterministic state machine that the control replicas run.
//!
//! The replicated log delivers [`Command`]s to every control replica in the same order. Applying a
//! command reads no clock and draws no random numbers, so all replicas reach the same state.
//! [`ConfigChange`]s describe the changes that entries need. Entries apply them to their own copy
//! of [`Config`].
//!
//! Invariants:
//! - The version of a [`Config`] increases by one with each [`ConfigChange`] and never decreases.
//! - Each endpoint has at most one owner, and its epoch increases with each change of owner.
//! - A claim is granted at most once for a key until it is released without execution or expires.

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
mod encoded_audit_record;
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
mod request_outcomes;
mod retained_bytes;
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
pub use encoded_audit_record::EncodedAuditRecord;
pub use entry_status::EntryStatus;
pub use outcome::{ClaimOutcome, Outcome};
pub use ownership::Ownership;
pub use preferred_owner::preferred_owner;
pub use recorded_response::RecordedResponse;
pub use request_id::RequestId;
pub use retained_bytes::RetainedBytes;
pub use state::State;
pub use takeover::Takeover;
pub use versioned_profile::VersionedProfile;
