//! The consensus node: its state, its entry points and its accessors.

mod commit;
mod election;
mod flush;
mod follower;
mod forming;
mod leader;
mod leave;
mod reconfigure;
mod replicate;

use crate::{
    Confirmation, Formation, HardState, Input, LeaderState, Log, Member, Membership, Message,
    MessageKind, NodeSettings, Output, ProposalError, ProposalId, RecoveredState, RecoveryError,
    ReplicaId, Role,
};
use rand::{Rng, SeedableRng, rngs::StdRng};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

/// Range of the random origin of `sent_ms`. The origins of two starts of a process are less than a
/// year apart with a probability below one in ten million. An origin is never 0.
const CLOCK_ORIGIN_MS: std::ops::Range<u64> = 1 << 42..1 << 62;

/// State of the node in the current term.
#[derive(Debug)]
enum State {
    /// Follows a leader, waits for one, or is not a voter.
    Follower,
    /// Collects granted pre-votes.
    PreCandidate(BTreeSet<Member>),
    /// Collects votes.
    Candidate(BTreeSet<Member>),
    /// Replicates its log to the other members.
    Leader(LeaderState),
}

/// The latest `Hello` from another replica.
#[derive(Debug)]
struct PeerHello {
    sender: Member,
    formation: Option<Formation>,
    formed: bool,
}

/// A member of the consensus group, or a replica that wants to join it.
#[derive(Debug)]
pub struct Node {
    settings: NodeSettings,
    rng: StdRng,
    hard_state: HardState,
    log: Log,
    commit_index: u64,
    state: State,
    leader: Option<Member>,
    /// Time of the last message from a leader, if one has been received since the start.
    last_leader_contact: Option<Duration>,
    election_deadline: Duration,
    /// Index of the last entry known to match the log of the current term's leader.
    matched: u64,
    /// Latest heartbeat round of the current term's leader.
    round: u64,
    confirmation: Confirmation,
    clock_origin_ms: u64,
    peer_hellos: BTreeMap<ReplicaId, PeerHello>,
    next_hello: Duration,
    /// Whether the process stops, so that this node neither campaigns nor asks to be admitted.
    stopping: bool,
    /// Whether the leader has answered the `Leave` of this stopping node.
    has_left: bool,
    /// Replicas that `Hello` messages of others have named, to which this node sends `Hello` too.
    peer_replicas: BTreeSet<ReplicaId>,
    reported_role: Option<Role>,
    hard_state_changed: bool,
    messages: Vec<Message>,
    /// Committed entries and results of proposals, in order.
    results: Vec<Output>,
    outputs: Vec<Output>,
}

impl Node {
    /// Creates a node from the state on its disk. `now` is the time on a monotonic clock, which all
    /// later calls must use as well.
    ///
    /// In production `seed` must come from the operating system's random source, because it also
    /// identifies this start of the process.
    ///
    /// # Errors
    ///
    /// Returns an error if the recovered entries have a gap or their terms are out of order.
    pub fn new(
        settings: NodeSettings,
        recovered: RecoveredState,
        seed: u64,
        now: Duration,
    ) -> Result<Self, RecoveryError> {
        let mut rng = StdRng::seed_from_u64(seed);
        let clock_origin_ms = rng.random_range(CLOCK_ORIGIN_MS);
        let hard_state = recovered.hard_state.clone();
        let log = Log::recover(recovered)?;
        let commit_index = log.previous().0;
        let mut node = Self {
            settings,
            rng,
            hard_state,
            log,
            commit_index,
            state: State::Follower,
            leader: None,
            last_leader_contact: None,
            election_deadline: now,
            matched: commit_index,
            round: 0,
            confirmation: Confirmation::default(),
            clock_origin_ms,
            peer_hellos: BTreeMap::new(),
            next_hello: now,
            stopping: false,
            has_left: false,
            peer_replicas: BTreeSet::new(),
            reported_role: None,
            hard_state_changed: false,
            messages: Vec::new(),
            results: Vec::new(),
            outputs: Vec::new(),
        };
        node.election_deadline = now + node.first_election_timeout();
        node.append_initial_membership();
        Ok(node)
    }

    /// Handles one input and returns the outputs that the driver must carry out in order.
    pub fn step(&mut self, now: Duration, input: Input) -> Vec<Output> {
        self.step_all(now, [input])
    }

    /// Handles several inputs at once, so that their entries share appends. The outputs must be
    /// carried out in order.
    pub fn step_all<I>(&mut self, now: Duration, inputs: I) -> Vec<Output>
    where
        I: IntoIterator<Item = Input>,
    {
        for input in inputs {
            self.handle(now, input);
        }
        self.flush(now);
        std::mem::take(&mut self.outputs)
    }

    /// Returns this replica and its storage.
    pub fn member(&self) -> Member {
        self.settings.member
    }

    /// Returns the current role.
    pub fn role(&self) -> Role {
        match &self.state {
            State::Leader(_) => Role::Leader,
            State::Candidate(_) => Role::Candidate,
            State::PreCandidate(_) => Role::PreCandidate,
            State::Follower if self.may_campaign() => Role::Follower,
            State::Follower => Role::Learner,
        }
    }

    /// Returns the current term.
    pub fn term(&self) -> u64 {
        self.hard_state.term
    }

    /// Returns the leader of the current term, if known.
    pub fn leader(&self) -> Option<Member> {
        self.leader
    }

    /// Returns the index of the last committed entry.
    pub fn commit_index(&self) -> u64 {
        self.commit_index
    }

    /// Returns the index of the last entry of the log.
    pub fn last_index(&self) -> u64 {
        self.log.last_index()
    }

    /// Returns the index of the first entry that is still in the log. Earlier entries are only in
    /// the snapshot.
    pub fn first_index(&self) -> u64 {
        self.log.first_index()
    }

    /// Returns the size of the entries of the log that are in memory, in bytes.
    pub fn log_bytes(&self) -> usize {
        self.log.bytes()
    }

    /// Returns the size of the snapshot that is in memory beside the log, in bytes.
    pub fn snapshot_bytes(&self) -> usize {
        self.log.snapshot().map_or(0, |s| s.data.len())
    }

    /// Returns the latest membership in the log, committed or not. It is empty before a cluster has
    /// formed.
    pub fn membership(&self) -> &Membership {
        self.log.membership().1
    }

    /// Returns an upper bound on how long this node may have missed commits. This is the age of the
    /// latest time up to which the node is known to have every committed entry. `None` if no such
    /// time has been known since the node started.
    pub fn confirmed_age(&self, now: Duration) -> Option<Duration> {
        let as_leader = self
            .confirmed_as_leader(now)
            .map(|instant| now.saturating_sub(instant));
        as_leader
            .into_iter()
            .chain(self.confirmation.age(now))
            .min()
    }

    fn handle(&mut self, now: Duration, input: Input) {
        match input {
            Input::Tick => self.tick(now),
            Input::Message(message) => self.receive(now, message),
            Input::Propose { id, command } => {
                if let Err(error) = self.propose(command, id) {
                    self.results.push(Output::ProposalFailed { id, error });
                }
            }
            Input::ChangeMembership { id, membership } => {
                if let Err(error) = self.propose_membership(now, membership, Some(id)) {
                    self.results.push(Output::ProposalFailed { id, error });
                }
            }
            Input::Persisted { index, term } => self.handle_persisted(now, index, term),
            Input::Compact { index, data } => self.compact(index, data),
            Input::TransferLeadership { to } => self.transfer_leadership(now, to),
            Input::Leave => self.leave(),
        }
    }

    fn tick(&mut self, now: Duration) {
        if matches!(self.state, State::Leader(_)) {
            self.tick_leader(now);
        } else if now >= self.election_deadline {
            self.start_pre_vote(now);
        }
        self.send_periodic_hello(now);
    }

    fn receive(&mut self, now: Duration, message: Message) {
        let Message {
            from,
            to,
            term,
            kind,
        } = message;
        if let MessageKind::Hello {
            formation,
            formed,
            members,
        } = kind
        {
            if to.replica == self.member().replica {
                self.receive_hello(now, from, formation, formed, members);
            }
            return;
        }
        // The message is for another storage of this replica. That storage is lost, and this node
        // must not vote or acknowledge entries on its behalf.
        if to != self.member() {
            return;
        }
        if !self.observe_term(now, from, term, &kind) {
            return;
        }
        match kind {
            MessageKind::PreVote {
                last_index,
                last_term,
            } => self.receive_pre_vote(now, from, term, (last_term, last_index)),
            MessageKind::PreVoteReply { granted } => {
                self.receive_pre_vote_reply(now, from, term, granted);
            }
            MessageKind::Vote {
                last_index,
                last_term,
                ..
            } => self.receive_vote(now, from, term, (last_term, last_index)),
            MessageKind::VoteReply { granted } => self.receive_vote_reply(now, from, granted),
            MessageKind::Append { .. } => self.receive_append(now, from, kind),
            MessageKind::InstallSnapshot { snapshot, round } => {
                self.receive_snapshot(now, from, snapshot, round);
            }
            MessageKind::AppendReply {
                accepted,
                index,
                round,
                sent_ms,
            } => self.receive_append_reply(now, from, accepted, index, round, sent_ms),
            MessageKind::TimeoutNow => self.receive_timeout_now(now, from),
            MessageKind::Leave => self.receive_leave(now, from),
            MessageKind::LeaveReply => self.receive_leave_reply(from),
            MessageKind::Hello { .. } => {}
        }
    }

    fn send(&mut self, to: Member, kind: MessageKind) {
        self.send_in_term(to, self.term(), kind);
    }

    fn send_in_term(&mut self, to: Member, term: u64, kind: MessageKind) {
        self.messages.push(Message {
            from: self.member(),
            to,
            term,
            kind,
        });
    }

    /// Becomes a follower. If the node was the leader, the outcome of the proposals in its log is
    /// unknown.
    fn become_follower(&mut self, now: Duration, leader: Option<Member>) {
        if let Some(instant) = self.confirmed_as_leader(now) {
            let commit = self.commit_index;
            self.confirmation
                .record(commit, instant, Duration::ZERO, commit);
        }
        if let State::Leader(former) = std::mem::replace(&mut self.state, State::Follower) {
            let error = ProposalError::Unknown;
            let failed = former.proposals.into_values();
            self.results
                .extend(failed.map(|id: ProposalId| Output::ProposalFailed { id, error }));
        }
        self.leader = leader;
        self.reset_election_timer(now);
    }

    /// Returns a timeout that increases with the position of this voter in the list of voters.
    fn first_election_timeout(&self) -> Duration {
        let timing = &self.settings.timing;
        let voters = &self.membership().voters;
        match voters.iter().position(|v| *v == self.member()) {
            Some(position) => timing.initial_election_stagger * (position as u32 + 1),
            None => timing.election_timeout_max,
        }
    }

    fn reset_election_timer(&mut self, now: Duration) {
        let timing = &self.settings.timing;
        let timeout = self
            .rng
            .random_range(timing.election_timeout_min..=timing.election_timeout_max);
        self.election_deadline = now + timeout;
    }
}
