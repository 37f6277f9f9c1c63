//! Exchanges the fleet view between replicas.

use crate::options::ReplicaSet;
use crate::peers::Peers;
use crate::published_state::PublishedState;
use futures::future::join_all;
use mangospindle_consensus::ReplicaId;
use mangospindle_fleet::timing::{
    INITIAL_VIEW_EXCHANGE_INTERVAL, LIST_EXCHANGE_INTERVAL, VIEW_EXCHANGE_INTERVAL,
};
use mangospindle_fleet::{ExchangeReply, PeerKey};
use mangospindle_model::Clock;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// Exchanges the fleet view with other replicas.
pub(crate) struct ViewExchange {
    pub(crate) peers: Rc<Peers>,
    pub(crate) replicas: ReplicaSet,
    pub(crate) published: Rc<PublishedState>,
    pub(crate) clock: Arc<dyn Clock>,
}

impl ViewExchange {
    /// Requests the fleet views of the other replicas until the future is dropped.
    pub(crate) async fn exchange_views(self: Rc<Self>) {
        loop {
            let members = match self.published.members.borrow().is_empty() {
                true => self.replicas.initial_ids(),
                false => self.published.members.borrow().clone(),
            };
            join_all(members.into_iter().map(|m| self.exchange(m, true))).await;
            tokio::time::sleep(self.view_exchange_interval()).await;
        }
    }

    fn view_exchange_interval(&self) -> Duration {
        match self.published.fleet().is_incomplete(self.clock.now()) {
            true => INITIAL_VIEW_EXCHANGE_INTERVAL,
            false => VIEW_EXCHANGE_INTERVAL,
        }
    }

    /// Requests the list of endpoints of the leader until the future is dropped.
    pub(crate) async fn follow_list(self: Rc<Self>) {
        loop {
            tokio::time::sleep(LIST_EXCHANGE_INTERVAL).await;
            let leader = self.published.leader.get();
            if let Some(leader) = leader {
                self.exchange(leader.replica, false).await;
            }
        }
    }

    /// Requests the view of one replica, with or without its entries, and merges it.
    async fn exchange(&self, replica: ReplicaId, wants_entries: bool) {
        let Some(link) = self.peers.link(replica) else {
            return;
        };
        let peer = PeerKey(replica.0);
        let request = self.published.fleet().request_to(peer, wants_entries);
        let asked_at = self.clock.now();
        let Some(reply) = link.exchange(&request.encode()).await else {
            return;
        };
        match ExchangeReply::decode(&reply) {
            Ok(reply) => {
                let now = self.clock.now();
                self.published.merge_view(now, asked_at, peer, reply);
            }
            Err(e) => log::warn!("{e}"),
        }
    }
}
