use crate::{Entry, Formation, Member, ReplicaId, Snapshot};
use serde::{Deserialize, Serialize};

/// A message between replicas.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// Sender.
    pub from: Member,
    /// Receiver's replica. The storage identifier is not needed to deliver a message.
    pub to: Member,
    /// Sender's term.
    pub term: u64,
    /// Content.
    pub kind: MessageKind,
}

/// Content of a [`Message`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MessageKind {
    /// Asks whether the receiver would vote for the sender in `term`.
    PreVote {
        /// Last position of the sender's log.
        last_index: u64,
        /// Term of that position.
        last_term: u64,
    },
    /// Answer to `PreVote`.
    PreVoteReply {
        /// Whether the receiver would vote.
        granted: bool,
    },
    /// Asks for a vote in `term`.
    Vote {
        /// Last position of the sender's log.
        last_index: u64,
        /// Term of that position.
        last_term: u64,
        /// Whether the leader asked for the election, so that it is no disturbance.
        transfer: bool,
    },
    /// Answer to `Vote`.
    VoteReply {
        /// Whether the vote was given.
        granted: bool,
    },
    /// Appends entries; without entries it is a heartbeat.
    Append {
        /// Position before the first entry.
        prev_index: u64,
        /// Term of that position.
        prev_term: u64,
        /// Entries to append.
        entries: Vec<Entry>,
        /// The leader's commit position.
        commit: u64,
        /// Number of the heartbeat round, for confirming leadership.
        round: u64,
        /// `sent_ms` of the receiver's last reply that the leader has seen, or 0. It bounds the age
        /// of this message on the receiver's clock.
        echo_ms: u64,
        /// How long ago the leader knew that a majority followed it, in milliseconds; `u64::MAX`
        /// if it does not know yet.
        confirmed_age_ms: u64,
    },
    /// Answer to `Append`.
    AppendReply {
        /// Whether the entries fit.
        accepted: bool,
        /// Last position that is persisted and matches the leader's log, or the position to try
        /// next when the entries did not fit.
        index: u64,
        /// The round that is answered.
        round: u64,
        /// The sender's own time, with an origin that is drawn at each start of its process, so
        /// that the echo of an earlier process is not taken for a recent one.
        sent_ms: u64,
    },
    /// Sends a snapshot to a node whose next entries are no longer in the log.
    InstallSnapshot {
        /// The snapshot.
        snapshot: Snapshot,
        /// Number of the heartbeat round.
        round: u64,
    },
    /// Asks the receiver to start an election at once (planned change of leader).
    TimeoutNow,
    /// Sent to all configured replicas by a node that is in no membership; such a node also gets
    /// it as an answer. The receiver's storage identifier is nil, as it is not known.
    Hello {
        /// The initial membership that the sender has accepted, if any.
        formation: Option<Formation>,
        /// Whether the sender's storage has ever been part of a membership.
        formed: bool,
        /// Replicas of the sender's membership. A replica that only knows some of them, such as
        /// one at a new address, reaches the leader through them.
        members: Vec<ReplicaId>,
    },
}
