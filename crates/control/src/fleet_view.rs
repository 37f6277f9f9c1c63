//! Exchanges the fleet view between replicas and polls the platform's endpoint list.

use crate::options::ReplicaSet;
use crate::peers::Peers;
use crate::published_state::PublishedState;
use futures::future::{LocalBoxFuture, join_all};
use mangospindle_consensus::Role;
use mangospindle_fleet::{EndpointList, EndpointRecord, ExchangeReply, ExchangeRequest};
use mangospindle_model::Clock;
use mangospindle_telemetry::event;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// Shortest interval between two polls of the list by one replica. A new leader polls at once.
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(700);

/// Fraction of the platform's call rate that one polling replica uses. Two replicas may poll at the
/// same time while leadership changes.
const POLLER_RATE_FRACTION: f64 = 0.45;

/// Longest interval between two polls, for a list of any size.
const MAX_POLL_INTERVAL: Duration = Duration::from_secs(30);

/// Interval between checks whether a poll is due.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Age of the list at which a replica that is not the leader polls the platform itself. Longer than
/// the age of a list that arrives from the leader.
const STALE_LIST_AGE: Duration = Duration::from_millis(2200);

/// Interval between exchanges with the other replicas.
const EXCHANGE_INTERVAL: Duration = Duration::from_millis(600);

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
    /// Reads the whole list. The error is a message for logs.
    fn read(&self) -> LocalBoxFuture<'_, Result<EndpointListing, String>>;
}

/// Returns the interval between two polls that need `calls` calls each. `max_rate` is the number of
/// calls per second that the platform accepts from all processes together; a polling replica stays
/// within its fraction of that rate, unless the longest interval is reached.
pub fn list_poll_interval(calls: u32, max_rate: f64) -> Duration {
    let poller_rate = (max_rate * POLLER_RATE_FRACTION).max(f64::MIN_POSITIVE);
    let min_interval = Duration::try_from_secs_f64(f64::from(calls) / poller_rate);
    MIN_POLL_INTERVAL.max(
        min_interval
            .unwrap_or(MAX_POLL_INTERVAL)
            .min(MAX_POLL_INTERVAL),
    )
}

/// Polls the list until the future is dropped. A poll takes place while this replica is the leader,
/// or when no recent list arrives from another replica.
pub(crate) async fn poll_endpoint_list<S>(
    source: S,
    max_rate: f64,
    published: Rc<PublishedState>,
    clock: Arc<dyn Clock>,
) where
    S: EndpointSource,
{
    let mut reachable = true;
    let mut was_leader = false;
    let mut last_poll = Duration::ZERO;
    let mut interval = MIN_POLL_INTERVAL;
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        let started = clock.now();
        let is_leader = published.role.get() == Role::Leader && !published.cut_off(started);
        let newly_elected = is_leader && !std::mem::replace(&mut was_leader, is_leader);
        let age = published.fleet().endpoint_list_age(started);
        let stale = age.is_none_or(|age| age >= STALE_LIST_AGE);
        let due = started >= last_poll + interval && (is_leader || stale);
        if !newly_elected && !due {
            continue;
        }
        last_poll = started;
        let result = source.read().await;
        if result.is_ok() != reachable {
            reachable = result.is_ok();
            event!(Info, "endpoint_list_reachable_changed", "reachable" => reachable);
        }
        match result {
            Ok(listing) => {
                interval = list_poll_interval(listing.calls, max_rate);
                let list = EndpointList::from_reading(listing.endpoints, started, clock.now());
                published.update_endpoint_list(list);
            }
            Err(e) => event!(Warn, "endpoint_list_unreadable", "reason" => e),
        }
    }
}

/// Requests the fleet views of the other replicas until the future is dropped.
pub(crate) async fn exchange_views(
    peers: Rc<Peers>,
    replicas: ReplicaSet,
    published: Rc<PublishedState>,
    clock: Arc<dyn Clock>,
) {
    loop {
        tokio::time::sleep(EXCHANGE_INTERVAL).await;
        let members = match published.members.borrow().is_empty() {
            true => replicas.initial_ids(),
            false => published.members.borrow().clone(),
        };
        let links = members.into_iter().filter_map(|m| peers.link(m));
        let requests = links.map(|link| {
            let (published, clock) = (&published, &clock);
            async move {
                let request = ExchangeRequest {
                    entry: None,
                    wants_entries: true,
                    known_list: published.fleet().endpoint_list().map_or(0, |l| l.digest),
                };
                let asked_at = clock.now();
                let Some(reply) = link.exchange(&request.encode()).await else {
                    return;
                };
                match ExchangeReply::decode(&reply) {
                    Ok(reply) => published.merge_view(clock.now(), asked_at, reply),
                    Err(e) => log::warn!("{e}"),
                }
            }
        });
        join_all(requests).await;
    }
}
