//! Periodic work of the leader.

use super::{Phase, Replica};
use crate::limits::{BOOTSTRAP_RETRY, EXPIRE_INTERVAL};
use crate::options::InitialConfig;
use actix::Context;
use mangospindle_consensus::Role;
use mangospindle_settings::Deployment;
use mangospindle_state::CommandKind;
use mangospindle_telemetry::event;

impl Replica {
    /// Proposes the first configuration if there is none, and expires old claims.
    pub(super) fn leader_duties(&mut self, cx: &mut Context<Self>) {
        // Before the first entry of its term is applied, a leader may not know the latest state.
        let leads =
            self.parts.node.role() == Role::Leader && self.applied.1 == self.parts.node.term();
        if self.phase != Phase::Running || !leads {
            return;
        }
        let now = self.now();
        let (version, needs_expire) = {
            let state = self.parts.published.state.borrow();
            (state.config().version, state.has_expired_items())
        };
        if version == 0 && self.bootstrap_at.is_none_or(|at| now >= at) {
            self.bootstrap_at = Some(now + BOOTSTRAP_RETRY);
            self.bootstrap(cx);
        }
        if needs_expire && now >= self.expire_at {
            self.expire_at = now + EXPIRE_INTERVAL;
            self.propose_own(CommandKind::Expire, cx);
        }
    }

    fn bootstrap(&mut self, cx: &mut Context<Self>) {
        let first = match &self.parts.options.initial_config {
            InitialConfig::File(path) => Deployment::load(path).map(|d| (d.topology, d.profiles)),
            InitialConfig::Empty => Ok(Default::default()),
        };
        match first {
            Ok((topology, profiles)) => {
                event!(Info, "bootstrap_proposed", "entries" => topology.entries.len());
                self.propose_own(CommandKind::Bootstrap { topology, profiles }, cx);
            }
            Err(e) => event!(Error, "bootstrap_failed", "reason" => e),
        }
    }
}
