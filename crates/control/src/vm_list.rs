use crate::published_state::PublishedState;
use crate::replica::Replica;
use crate::replica::messages::FenceVms;
use crate::vm_tracker::{VmList, VmTracker};
use actix::Addr;
use mangospindle_consensus::Role;
use mangospindle_http::ConditionalGet;
use mangospindle_model::Clock;
use mangospindle_telemetry::event;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// Interval between polls of the list.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Timeout of one poll.
const POLL_TIMEOUT: Duration = Duration::from_secs(2);

/// Largest accepted list, in bytes. Ample for 1,000 VMs.
const MAX_LIST_BYTES: usize = 1 << 20;

/// Polls the platform's VM list while this replica leads, until the future is dropped.
///
/// A new leader starts with an empty tracker, so it only fences VMs that it has seen listed itself.
pub(crate) async fn poll_vm_list(
    address: String,
    replica: Addr<Replica>,
    published: Rc<PublishedState>,
    clock: Arc<dyn Clock>,
) {
    let mut list = ConditionalGet::<VmList>::new(address.clone(), POLL_TIMEOUT, MAX_LIST_BYTES);
    let mut tracker = VmTracker::default();
    let mut interval = tokio::time::interval(POLL_INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        if published.role.get() != Role::Leader {
            tracker = VmTracker::default();
            continue;
        }
        match list.read().await {
            Ok(list) => match tracker.observe(list, clock.now(), |vm| published.incarnation(vm)) {
                Some(removed) if removed.is_empty() => {}
                Some(removed) => replica.do_send(FenceVms(removed)),
                None => event!(Warn, "vm_list_partial", "vms" => list.vms.len()),
            },
            Err(e) => log::debug!("cannot read the VM list from {address}: {e}"),
        }
    }
}
