use crate::{Input, Member, Membership, NodeSettings, Output, RecoverError, Recovered, Role};
use std::time::Duration;

/// A replica of the log.
#[derive(Debug)]
pub struct Node {
    settings: NodeSettings,
    membership: Membership,
}

impl Node {
    /// Starts from what is on disk. `seed` must come from the operating system's random source in
    /// production: it also names this start of the process.
    pub fn new(
        settings: NodeSettings,
        recovered: Recovered,
        seed: u64,
        now: Duration,
    ) -> Result<Self, RecoverError> {
        let _ = (seed, now);
        let membership = recovered.snapshot.map(|s| s.membership).unwrap_or_default();
        Ok(Self {
            settings,
            membership,
        })
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
        let _ = (now, inputs.into_iter().count());
        Vec::new()
    }

    /// This replica and its storage.
    pub fn member(&self) -> Member {
        self.settings.member
    }

    /// Current role.
    pub fn role(&self) -> Role {
        Role::Learner
    }

    /// Current term.
    pub fn term(&self) -> u64 {
        0
    }

    /// The leader of the current term, if known.
    pub fn leader(&self) -> Option<Member> {
        None
    }

    /// Last committed position.
    pub fn commit_index(&self) -> u64 {
        0
    }

    /// Last position of the log.
    pub fn last_index(&self) -> u64 {
        0
    }

    /// First position that is still in the log; earlier ones are only in the snapshot.
    pub fn first_index(&self) -> u64 {
        1
    }

    /// Latest membership of the log, committed or not. Empty before a cluster is formed.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// How long ago this node knew that it had every entry committed until then. `None` if it has
    /// not known since its start.
    pub fn confirmed_age(&self, now: Duration) -> Option<Duration> {
        let _ = now;
        None
    }
}
