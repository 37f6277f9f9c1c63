//! A leader-based replicated log without input and output of its own.
//!
//! `Node` is driven by [`Input`]s with a time that is passed in and answers with [`Output`]s. It
//! reads no clock, opens no file and sends nothing itself, so that elections, losses and restarts
//! can be tested and fuzzed in a single thread.
//!
//! # Lost disks
//!
//! A member is a replica together with the random identifier of its storage. A replica that returns
//! with an empty disk is a new member: it says `Hello`, the leader adds it as a learner and, once
//! it has caught up and the former member no longer answers, removes that one and then adds the new
//! one. Of five voters any two may be lost at once, and two more once the replacements have been
//! added. When three of five are lost, the remaining two neither elect a leader nor accept
//! anything, also together with replicas that return with empty disks. The directory of a member
//! that has been replaced must be emptied before it is used again.
//!
//! # First start
//!
//! No operator starts a cluster. Replicas with storage that was never used send `Hello` to all
//! configured replicas. When the lowest-numbered one knows all of them, it proposes them as the
//! initial voters, each of them accepts durably, and only a proposal that *all* have accepted takes
//! effect. Storage that was ever part of a membership never accepts one, so that a replica that
//! lost its disk cannot form a second cluster, whatever old messages it receives, as long as one
//! storage of the first is left.
//!
//! # Confirmation age
//!
//! [`Node::confirmed_age`] bounds for how long the node may have missed commits. The leader knows
//! it from the answers to its heartbeat rounds. A follower adds the leader's age to the time since
//! its own reply that the leader's message echoes; it is measured on the follower's clock, so that
//! a message that was delayed for an hour is an hour old. The result is accurate up to the relative
//! drift of the two clocks.
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
mod recovered_state;
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
pub use recovered_state::{RecoveredState, RecoveryError};
pub use role::Role;
pub use settings::{NodeSettings, Timing};
pub use snapshot::Snapshot;

use confirmation::Confirmation;
use leadership::{Leadership, Transfer};
use log::Log;
use progress::{Mode, Progress};
