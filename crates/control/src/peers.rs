use crate::options::ReplicaSet;
use mangospindle_consensus::ReplicaId;
use mangospindle_model::Clock;
use mangospindle_rpc::{LinkCounters, PeerLink};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;

/// Links to the other replicas, opened when they are first needed.
pub(crate) struct Peers {
    own: ReplicaId,
    replicas: ReplicaSet,
    clock: Arc<dyn Clock>,
    counters: LinkCounters,
    links: RefCell<BTreeMap<ReplicaId, Rc<PeerLink>>>,
}

impl Peers {
    pub(crate) fn new(
        own: ReplicaId,
        replicas: ReplicaSet,
        clock: Arc<dyn Clock>,
        counters: LinkCounters,
    ) -> Rc<Self> {
        Rc::new(Peers {
            own,
            replicas,
            clock,
            counters,
            links: RefCell::default(),
        })
    }

    /// The link to another replica; `None` for this one and for one without an address.
    pub(crate) fn link(&self, replica: ReplicaId) -> Option<Rc<PeerLink>> {
        if replica == self.own {
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
