//! A leader-based replicated log (Raft) that performs no I/O itself.
//!
//! A [`Node`] takes [`Input`]s together with the current time and returns [`Output`]s. It reads no
//! clock, opens no files and sends no messages itself, so that elections, losses and restarts can
//! be tested and fuzzed in a single thread.
//!
//! # Lost disks
//!
//! A member is a replica together with the random identifier of its storage. A replica that returns
//! with an empty disk is a new member. It sends `Hello`, and the leader adds it as a learner if the
//! old member no longer replies. Once the learner has caught up, the leader removes the old member
//! and then promotes the new one to a voter.
//!
//! Of five voters any two may be lost at once, and two more once the replacements are voters. When
//! three of five are lost, the remaining two neither elect a leader nor accept proposals. This
//! holds even if replicas return with empty disks. The data directory of a member that has been
//! replaced must be emptied before it is used again.
//!
//! # First start
//!
//! A cluster forms without an operator. Replicas with unused storage send `Hello` to all configured
//! replicas. When the lowest-numbered replica knows all of them, it proposes them as the initial
//! voters. Each voter persists its acceptance, and only a proposal that *all* voters have accepted
//! takes effect. Storage that was ever part of a membership never accepts a proposal. A replica
//! that lost its disk therefore cannot form a second cluster, whatever old messages it receives, as
//! long as one storage of the first cluster remains.
//!
//! # Confirmation age
//!
//! [`Node::confirmed_age`] is an upper bound on how long the node may have missed commits. The
//! leader derives it from the replies to its heartbeat rounds. A follower adds the leader's age to
//! the time since it sent the reply that the leader's message echoes. That time is measured on the
//! follower's clock, so a message that was delayed for an hour counts as an hour old. The bound is
//! accurate up to the relative drift of the two clocks.
//!
//! # Invariants
//!
//! - There is at most one leader per term. A node votes at most once per term and persists the vote
//!   before it replies.
//! - A node's copy of an entry counts towards the majority only after the node's driver has
//!   reported it as persisted.
//! - A committed entry is in the log of every later leader.
//! - Only voters, identified by replica and storage, vote and count towards majorities.

mod confirmation;
mod entry;
mod formation;
mod hard_state;
mod input;
mod leader_state;
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
use leader_state::{LeaderState, LeadershipTransfer};
use log::Log;
use progress::{Progress, ReplicationMode};
