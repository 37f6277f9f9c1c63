//! Departure of a replica whose process stops.
//!
//! A stop may be a restart or the end of the replica, and the replica cannot tell which. It only
//! tells the leader that it will not reply for some time. The leader removes it at once if the
//! membership can spare it, and otherwise keeps it. A replica that was removed and starts again asks
//! to be admitted.

use super::{Node, State};
use crate::{Member, MessageKind};
use std::time::Duration;

impl Node {
    /// Returns whether the leader has answered that this stopping replica need not wait any longer.
    pub fn has_left(&self) -> bool {
        self.has_left
    }

    /// Tells the leader that this replica stops. From now on it neither campaigns nor asks to be
    /// admitted. The caller repeats this until [`has_left`](Self::has_left), or for as long as the
    /// stop may take.
    pub(super) fn leave(&mut self) {
        self.stopping = true;
        match self.leader {
            Some(leader) if leader != self.member() => self.send(leader, MessageKind::Leave),
            _ => {}
        }
    }

    /// Treats the sender as unresponsive, and replies unless its removal is still to be committed.
    pub(super) fn receive_leave(&mut self, now: Duration, from: Member) {
        let until = now + self.settings.timing.election_timeout_min;
        let State::Leader(leader_state) = &mut self.state else {
            return;
        };
        if let Some(progress) = leader_state.progress.get_mut(&from) {
            progress.leaving_until = Some(until);
        }
        self.repair_membership(now);
        if !self.awaits_removal(now, from) {
            self.send(from, MessageKind::LeaveReply);
        }
    }

    pub(super) fn receive_leave_reply(&mut self, from: Member) {
        self.has_left |= self.stopping && self.leader == Some(from);
    }

    /// Returns whether the removal of a leaving voter is possible or not committed yet.
    fn awaits_removal(&self, now: Duration, leaving: Member) -> bool {
        let (changed_at, membership) = self.log.membership();
        match membership.is_voter(leaving) {
            true => self.settings.open_membership && self.can_spare(now, leaving),
            false => changed_at > self.commit_index,
        }
    }
}
