//! Periodic tasks of the leader.

use super::{Phase, Replica};
use crate::limits::{BOOTSTRAP_RETRY, EXPIRE_INTERVAL};
use crate::options::InitialConfig;
use actix::Context;
use mangospindle_settings::Deployment;
use mangospindle_state::CommandKind;
use mangospindle_telemetry::event;

impl Replica {
    /// Proposes the first configuration if there is none, and the expiry of old claims if any are
    /// due.
    pub(super) fn run_leader_tasks(&mut self, cx: &mut Context<Self>) {
        // A new leader may lack committed state until it has applied the first entry of its term.
        if self.phase != Phase::Running || !self.is_ready_leader() {
            return;
        }
        let now = self.now();
        let (version, has_expired_items) = {
            let state = self.parts.published.state.borrow();
            (state.config().version, state.has_expired_items())
        };
        if version == 0 && self.next_bootstrap_at.is_none_or(|at| now >= at) {
            self.next_bootstrap_at = Some(now + BOOTSTRAP_RETRY);
            self.bootstrap(cx);
        }
        if has_expired_items && now >= self.next_expire_at {
            self.next_expire_at = now + EXPIRE_INTERVAL;
            self.propose_as_leader(CommandKind::Expire, cx);
        }
    }

    fn bootstrap(&mut self, cx: &mut Context<Self>) {
        let initial = match &self.parts.options.initial_config {
            InitialConfig::File(path) => Deployment::load(path).map(|d| (d.topology, d.profiles)),
            InitialConfig::Empty => Ok(Default::default()),
        };
        match initial {
            Ok((topology, profiles)) => {
                event!(Info, "bootstrap_proposed", "entries" => topology.entries.len());
                self.propose_as_leader(CommandKind::Bootstrap { topology, profiles }, cx);
            }
            Err(e) => event!(Error, "bootstrap_failed", "reason" => e),
        }
    }
}
