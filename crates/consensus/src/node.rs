//! The replica as a whole: its state, its entry point and what can be read from it.

mod commit;
mod election;
mod flush;
mod follow;
mod forming;
mod lead;
mod reconfigure;
mod replicate;

use crate::{
    Confirmation, Formation, HardState, Input, Leadership, Log, Member, Membership, Message,
    MessageKind, NodeSettings, Output, ProposalError, ProposalId, RecoveredState, RecoveryError,
    ReplicaId, Role,
};
use rand::{Rng, SeedableRng, rngs::StdRng};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

/// Lowest and highest origin of `sent_ms`. Two starts of a process draw origins closer than a year
/// with a probability below one in ten million, and 0 never occurs.
const CLOCK_ORIGIN_MS: std::ops::Range<u64> = 1 << 42..1 << 62;

/// What the node does in the current term.
#[derive(Debug)]
enum State {
    /// Follows a leader, waits for one, or is not a voter.
    Follower,
    /// Collects answers to `PreVote`.
    PreCandidate(BTreeSet<Member>),
    /// Collects votes.
    Candidate(BTreeSet<Member>),
    /// Appends entries.
    Leader(Leadership),
}

/// Latest `Hello` of another replica.
#[derive(Debug)]
struct Greeting {
    sender: Member,
    formation: Option<Formation>,
    formed: bool,
}

/// A replica of the log.
#[derive(Debug)]
pub struct Node {
    settings: NodeSettings,
    random: StdRng,
    hard_state: HardState,
    log: Log,
    commit_index: u64,
    state: State,
    leader: Option<Member>,
    /// When the leader was last heard.
    leader_heard: Duration,
    election_deadline: Duration,
    /// Last position known to match the log of the current term's leader.
    matched: u64,
    /// Latest round of the current term's leader.
    round: u64,
    confirmation: Confirmation,
    clock_origin_ms: u64,
    greetings: BTreeMap<ReplicaId, Greeting>,
    next_hello: Duration,
    /// Members that other replicas have named, for `Hello`.
    contacts: BTreeSet<ReplicaId>,
    reported_role: Option<Role>,
    hard_state_changed: bool,
    messages: Vec<Message>,
    /// Commits and results of proposals, in order.
    results: Vec<Output>,
    outputs: Vec<Output>,
}

impl Node {
    /// Starts from what is on disk. `seed` must come from the operating system's random source in
    /// production: it also names this start of the process.
    pub fn new(
        settings: NodeSettings,
        recovered: RecoveredState,
        seed: u64,
        now: Duration,
    ) -> Result<Self, RecoveryError> {
        let mut random = StdRng::seed_from_u64(seed);
        let clock_origin_ms = random.random_range(CLOCK_ORIGIN_MS);
        let hard_state = recovered.hard_state.clone();
        let log = Log::recover(recovered)?;
        let commit_index = log.previous().0;
        let mut node = Self {
            settings,
            random,
            hard_state,
            log,
            commit_index,
            state: State::Follower,
            leader: None,
            leader_heard: Duration::ZERO,
            election_deadline: now,
            matched: commit_index,
            round: 0,
            confirmation: Confirmation::default(),
            clock_origin_ms,
            greetings: BTreeMap::new(),
            next_hello: now,
            contacts: BTreeSet::new(),
            reported_role: None,
            hard_state_changed: false,
            messages: Vec::new(),
            results: Vec::new(),
            outputs: Vec::new(),
        };
        node.election_deadline = now + node.first_election_timeout();
        node.finish_forming();
        Ok(node)
    }

    /// Handles one event.
    pub fn step(&mut self, now: Duration, input: Input) -> Vec<Output> {
        self.step_all(now, [input])
    }

    /// Handles several events that are due at once; their entries share appends.
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

    /// This replica and its storage.
    pub fn member(&self) -> Member {
        self.settings.member
    }

    /// Current role.
    pub fn role(&self) -> Role {
        match &self.state {
            State::Leader(_) => Role::Leader,
            State::Candidate(_) => Role::Candidate,
            State::PreCandidate(_) => Role::PreCandidate,
            State::Follower if self.may_campaign() => Role::Follower,
            State::Follower => Role::Learner,
        }
    }

    /// Current term.
    pub fn term(&self) -> u64 {
        self.hard_state.term
    }

    /// The leader of the current term, if known.
    pub fn leader(&self) -> Option<Member> {
        self.leader
    }

    /// Last committed position.
    pub fn commit_index(&self) -> u64 {
        self.commit_index
    }

    /// Last position of the log.
    pub fn last_index(&self) -> u64 {
        self.log.last_index()
    }

    /// First position that is still in the log; earlier ones are only in the snapshot.
    pub fn first_index(&self) -> u64 {
        self.log.first_index()
    }

    /// Latest membership of the log, committed or not. Empty before a cluster is formed.
    pub fn membership(&self) -> &Membership {
        self.log.membership().1
    }

    /// How long ago this node knew that it had every entry committed until then. `None` if it has
    /// not known since its start.
    pub fn confirmed_age(&self, now: Duration) -> Option<Duration> {
        let led = self
            .confirmed_as_leader(now)
            .map(|moment| now.saturating_sub(moment));
        led.into_iter().chain(self.confirmation.age(now)).min()
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
            Input::Persisted { index, term } => self.persisted(now, index, term),
            Input::Compact { index, data } => self.compact(index, data),
            Input::TransferLeadership { to } => self.transfer_leadership(now, to),
        }
    }

    fn tick(&mut self, now: Duration) {
        if matches!(self.state, State::Leader(_)) {
            self.lead_on(now);
        } else if now >= self.election_deadline {
            self.start_pre_vote(now);
        }
        self.greet(now);
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
        // A message for another storage of this replica: that storage is lost, and its votes and
        // acknowledgements must not be given in its name.
        if to != self.member() {
            return;
        }
        if !self.enter_term(now, from, term, &kind) {
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

    /// Ends any candidacy or leadership. The outcome of proposals in the log is not known then.
    fn follow(&mut self, now: Duration, leader: Option<Member>) {
        if let Some(moment) = self.confirmed_as_leader(now) {
            let commit = self.commit_index;
            self.confirmation
                .learn(commit, moment, Duration::ZERO, commit);
        }
        if let State::Leader(lost) = std::mem::replace(&mut self.state, State::Follower) {
            let error = ProposalError::Unknown;
            let failed = lost.proposals.into_values();
            self.results
                .extend(failed.map(|id: ProposalId| Output::ProposalFailed { id, error }));
        }
        self.leader = leader;
        self.reset_election_timer(now);
    }

    /// Grows with the position of this voter among all voters.
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
            .random
            .random_range(timing.election_timeout_min..=timing.election_timeout_max);
        self.election_deadline = now + timeout;
    }
}
