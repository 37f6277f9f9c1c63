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
mod claim_key;
mod command;
mod command_kind;
mod config;
mod config_change;
mod entry_status;
mod outcome;
mod ownership;
mod recorded_answer;
mod request_id;
mod takeover;
mod versioned_profile;

pub use actor::Actor;
pub use attempt::Attempt;
pub use claim_key::ClaimKey;
pub use command::Command;
pub use command_kind::CommandKind;
pub use config::Config;
pub use config_change::ConfigChange;
pub use entry_status::EntryStatus;
pub use outcome::{ClaimOutcome, Outcome};
pub use ownership::Ownership;
pub use recorded_answer::RecordedAnswer;
pub use request_id::RequestId;
pub use takeover::Takeover;
pub use versioned_profile::VersionedProfile;
