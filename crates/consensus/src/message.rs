use crate::{Entry, Formation, Member, ReplicaId, Snapshot};
use serde::{Deserialize, Serialize};

/// A message between replicas.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// The sender.
    pub from: Member,
    /// The receiver. Only its replica number is needed to deliver the message.
    pub to: Member,
    /// The sender's term.
    pub term: u64,
    /// Content.
    pub kind: MessageKind,
}

/// Content of a [`Message`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MessageKind {
    /// Asks whether the receiver would vote for the sender in `term`.
    PreVote {
        /// Index of the last entry in the sender's log.
        last_index: u64,
        /// Term of that entry.
        last_term: u64,
    },
    /// Reply to `PreVote`.
    PreVoteReply {
        /// Whether the receiver would vote.
        granted: bool,
    },
    /// Requests a vote in `term`.
    Vote {
        /// Index of the last entry in the sender's log.
        last_index: u64,
        /// Term of that entry.
        last_term: u64,
        /// Whether the leader requested the election to transfer leadership. A receiver then takes
        /// part even if it has recently received a message from the leader.
        transfer: bool,
    },
    /// Reply to `Vote`.
    VoteReply {
        /// Whether the vote was granted.
        granted: bool,
    },
    /// Appends entries. Without entries it is a heartbeat.
    Append {
        /// Index of the entry before the first one sent.
        prev_index: u64,
        /// Term of that entry.
        prev_term: u64,
        /// The entries to append.
        entries: Vec<Entry>,
        /// The leader's commit index.
        commit: u64,
        /// Number of the heartbeat round, which confirms leadership.
        round: u64,
        /// `sent_ms` of the receiver's last reply that reached the leader, or 0. It bounds the age
        /// of this message on the receiver's clock.
        echo_ms: u64,
        /// Time since a majority last confirmed the leader, in milliseconds. `u64::MAX` if none has
        /// confirmed it yet.
        confirmed_age_ms: u64,
    },
    /// Reply to `Append` and `InstallSnapshot`.
    AppendReply {
        /// Whether the receiver's log matches the leader's at `prev_index`.
        accepted: bool,
        /// Index of the last entry that is persisted and matches the leader's log. In a rejection,
        /// the index to send from next.
        index: u64,
        /// Number of the heartbeat round that the reply acknowledges.
        round: u64,
        /// Time on the sender's clock, in milliseconds. Its origin is random at each start of the
        /// process, so that an echo of an earlier process is not mistaken for a recent one.
        sent_ms: u64,
    },
    /// Sends a snapshot to a node whose next entries are no longer in the log.
    InstallSnapshot {
        /// The snapshot to install.
        snapshot: Snapshot,
        /// Number of the heartbeat round.
        round: u64,
    },
    /// Asks the receiver to start an election at once, to transfer leadership to it.
    TimeoutNow,
    /// Sent to all known replicas by a node that is in no membership, or that may have been removed
    /// from an open one. Members reply with the same message to a node that has no membership or is
    /// not in theirs. The receiver's storage identifier is nil because the sender does not know it.
    Hello {
        /// The initial membership that the sender has accepted, if any.
        formation: Option<Formation>,
        /// Whether the sender's storage has ever been part of a membership.
        formed: bool,
        /// Replicas in the sender's membership. A receiver that knows only some of them, such as
        /// one at a new address, finds the leader through them.
        members: Vec<ReplicaId>,
    },
    /// Tells the leader that the sender's process stops. Builds that do not know it drop it, like
    /// the reply.
    Leave,
    /// Reply to `Leave`. The sender is removed, or stays a voter because it cannot be spared.
    LeaveReply,
}
