use crate::options::ReplicaSet;
use mangospindle_consensus::ReplicaId;
use mangospindle_model::Clock;
use mangospindle_rpc::{PeerLink, TrafficCounters};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;

/// Links to the other replicas, opened on first use.
pub(crate) struct Peers {
    local: ReplicaId,
    replicas: ReplicaSet,
    clock: Arc<dyn Clock>,
    counters: TrafficCounters,
    links: RefCell<BTreeMap<ReplicaId, Rc<PeerLink>>>,
}

impl Peers {
    pub(crate) fn new(
        local: ReplicaId,
        replicas: ReplicaSet,
        clock: Arc<dyn Clock>,
        counters: TrafficCounters,
    ) -> Rc<Self> {
        Rc::new(Peers {
            local,
            replicas,
            clock,
            counters,
            links: RefCell::default(),
        })
    }

    /// Returns the link to a replica. `None` for the local replica and for a replica without a known
    /// address.
    pub(crate) fn link(&self, replica: ReplicaId) -> Option<Rc<PeerLink>> {
        if replica == self.local {
            return None;
        }
        if let Some(link) = self.links.borrow().get(&replica) {
            return Some(Rc::clone(link));
        }
        let address = self.replicas.address(replica)?;
        let link = PeerLink::start(address, Arc::clone(&self.clock), self.counters.clone());
        let link = Rc::new(link);
        self.links.borrow_mut().insert(replica, Rc::clone(&link));
        Some(link)
    }
}
