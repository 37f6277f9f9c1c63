//! A leader-based replicated log without input and output of its own.
//!
//! `Node` is driven by [`Input`]s with a time that is passed in and answers with [`Output`]s. It
//! reads no clock, opens no file and sends nothing itself, so that elections, losses and restarts
//! can be tested and fuzzed in a single thread.
//!
//! Invariants:
//! - At most one leader per term; a node votes once per term, and the vote is persisted first.
//! - An entry counts towards its majority at a node only after the node reported it as persisted.
//! - A committed entry is in the log of every later leader.
//! - Only members, named by replica and storage identifier, vote and count.

mod confirmation;
mod entry;
mod formation;
mod hard_state;
mod input;
mod leadership;
mod log;
mod member;
mod message;
mod node;
mod output;
mod progress;
mod recovered;
mod role;
mod settings;
mod snapshot;

pub use entry::{Entry, Payload};
pub use formation::Formation;
pub use hard_state::HardState;
pub use input::Input;
pub use member::{Member, Membership, ReplicaId, StorageId};
pub use message::{Message, MessageKind};
pub use node::Node;
pub use output::{Output, ProposalError, ProposalId};
pub use recovered::{RecoverError, Recovered};
pub use role::Role;
pub use settings::{NodeSettings, Timing};
pub use snapshot::Snapshot;

use confirmation::Confirmation;
use leadership::{Leadership, Transfer};
use log::Log;
use progress::{Mode, Progress};
