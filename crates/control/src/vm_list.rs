use crate::published_state::PublishedState;
use crate::replica::Replica;
use crate::replica::messages::VmsGone;
use crate::vm_tracker::{VmList, VmTracker};
use actix::Addr;
use mangospindle_consensus::Role;
use mangospindle_http::ConditionalGet;
use mangospindle_model::Clock;
use mangospindle_telemetry::event;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// Interval between requests to the platform.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Time for one answer.
const POLL_TIMEOUT: Duration = Duration::from_secs(2);

/// Largest list that is read, in bytes: 1,000 VMs with room to spare.
const MAX_LIST_BYTES: usize = 1 << 20;

/// Polls the platform's VM list while this replica leads, until the future is dropped.
///
/// A new leader starts without a history, so that only VMs which it saw itself can be fenced.
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
                Some(gone) if gone.is_empty() => {}
                Some(gone) => replica.do_send(VmsGone(gone)),
                None => event!(Warn, "vm_list_partial", "vms" => list.vms.len()),
            },
            Err(e) => log::debug!("no VM list from {address}: {e}"),
        }
    }
}
