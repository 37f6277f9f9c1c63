//! Polls the platform's list of endpoints.

use crate::published_state::PublishedState;
use futures::future::LocalBoxFuture;
use mangospindle_consensus::{ReplicaId, Role};
use mangospindle_fleet::{EndpointList, EndpointRecord, PollRole, PollSchedule};
use mangospindle_model::Clock;
use mangospindle_telemetry::event;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// Interval between checks whether a poll is due.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Time since its last reply for which a replica counts as reachable: two exchanges.
const REACHABLE_TIME: Duration = Duration::from_millis(1500);

/// The result of one poll of the platform's endpoint list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointListing {
    /// The listed endpoints. `cold_for` counts from the end of the poll.
    pub endpoints: Vec<EndpointRecord>,
    /// Number of calls to the platform that the poll needed.
    pub calls: u32,
}

/// A source of the platform's endpoint list.
pub trait EndpointSource: 'static {
    /// Reads the whole list: the failure domains side by side or, if none are named, in one go. The
    /// error is a message for logs.
    fn read(
        &self,
        failure_domains: Vec<String>,
    ) -> LocalBoxFuture<'_, Result<EndpointListing, String>>;
}

/// Polls the list until the future is dropped. A poll takes place while this replica is the leader,
/// or when no recent list arrives from another replica.
pub(crate) async fn poll_endpoint_list<S>(
    source: S,
    mut schedule: PollSchedule,
    local: ReplicaId,
    published: Rc<PublishedState>,
    clock: Arc<dyn Clock>,
) where
    S: EndpointSource,
{
    let mut reachable = true;
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        let started = clock.now();
        let role = poll_role(&published, local, started);
        let age = published.fleet().endpoint_list_age(started);
        if !schedule.is_due(started, role, age) {
            continue;
        }
        let result = source.read(schedule.domains_to_read()).await;
        if result.is_ok() != reachable {
            reachable = result.is_ok();
            event!(Info, "endpoint_list_reachable_changed", "reachable" => reachable);
        }
        match result {
            Ok(listing) => {
                schedule.record_calls(listing.calls);
                let list = EndpointList::from_reading(listing.endpoints, started, clock.now());
                published.update_endpoint_list(list);
            }
            Err(e) => event!(Warn, "endpoint_list_unreadable", "reason" => e),
        }
    }
}

/// Role of this replica. Replicas that are not the leader poll in the order of their identifiers.
fn poll_role(published: &PublishedState, local: ReplicaId, now: Duration) -> PollRole {
    let is_leader = published.role.get() == Role::Leader && !published.cut_off(now);
    match is_leader {
        true => PollRole::Leader,
        false => {
            let reachable = published.fleet().reachable_peers(now, REACHABLE_TIME);
            let earlier = reachable.iter().filter(|peer| peer.0 < local.0);
            PollRole::Follower {
                rank: earlier.count(),
            }
        }
    }
}
