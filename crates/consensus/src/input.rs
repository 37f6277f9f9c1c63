use crate::{Membership, Message, ProposalId, ReplicaId};

/// An event for a `Node`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Input {
    /// Time has passed.
    Tick,
    /// A message arrived.
    Message(Message),
    /// The state machine wants a command in the log.
    Propose {
        /// Names the proposal in later outputs.
        id: ProposalId,
        /// Encoded command.
        command: Vec<u8>,
    },
    /// Everything up to this position, and the hard state before it, is synced to disk.
    Persisted {
        /// Last synced position.
        index: u64,
        /// Term of that position.
        term: u64,
    },
    /// The state machine has a snapshot up to this position; the log may be cut.
    Compact {
        /// Last position included in the snapshot.
        index: u64,
        /// Encoded state.
        data: Vec<u8>,
    },
    /// An operator or the leader's own repair asks for a membership one member away.
    ChangeMembership {
        /// Names the proposal in later outputs.
        id: ProposalId,
        /// The membership to reach.
        membership: Membership,
    },
    /// The process is about to stop; hand leadership to another replica.
    TransferLeadership {
        /// The preferred next leader, if any.
        to: Option<ReplicaId>,
    },
}
