//! Spreading the view of the fleet between replicas, and reading the platform's list of endpoints.

use crate::options::ReplicaSet;
use crate::peers::Peers;
use crate::published::Published;
use futures::future::{LocalBoxFuture, join_all};
use mangospindle_consensus::Role;
use mangospindle_fleet::{EndpointList, EndpointRecord, ExchangeReply, ExchangeRequest};
use mangospindle_model::Clock;
use mangospindle_telemetry::event;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// Interval between two readings of the list by the reader.
const READ_INTERVAL: Duration = Duration::from_millis(700);

/// Part of the platform's calls that one reader uses. Two replicas may read while leadership moves.
const READER_PART: f64 = 0.45;

/// Longest interval between two readings, at whatever size of the list.
const MAX_READ_INTERVAL: Duration = Duration::from_secs(30);

/// Interval between checks whether a reading is due.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Age of the list from which a replica that does not lead reads it itself. Above the age that a
/// list has when it arrives from the leader's replica.
const STALE_LIST: Duration = Duration::from_millis(2200);

/// Interval between two exchanges with the other replicas.
const EXCHANGE_INTERVAL: Duration = Duration::from_millis(600);

/// A reading of the platform's list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reading {
    /// The endpoints.
    pub endpoints: Vec<EndpointRecord>,
    /// Calls that the reading took.
    pub calls: u32,
}

/// The platform's list of endpoints.
pub trait EndpointSource: 'static {
    /// Reads the whole list. The error is for people.
    fn read(&self) -> LocalBoxFuture<'_, Result<Reading, String>>;
}

/// Time from one reading to the next: long enough that a reader uses its part of the calls that the
/// platform accepts from all processes together.
pub fn reading_interval(calls: u32, max_rate: f64) -> Duration {
    let own_rate = (max_rate * READER_PART).max(f64::MIN_POSITIVE);
    let least = Duration::try_from_secs_f64(f64::from(calls) / own_rate);
    READ_INTERVAL.max(least.unwrap_or(MAX_READ_INTERVAL).min(MAX_READ_INTERVAL))
}

/// Reads the list while this replica leads, or when no recent list arrives from another one, until
/// the future is dropped.
pub(crate) async fn read_endpoints<S>(
    source: S,
    max_rate: f64,
    published: Rc<Published>,
    clock: Arc<dyn Clock>,
) where
    S: EndpointSource,
{
    let mut reachable = true;
    let mut led = false;
    let mut read_at = Duration::ZERO;
    let mut interval = READ_INTERVAL;
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        let started = clock.now();
        let leads = published.role.get() == Role::Leader && !published.cut_off(started);
        let elected = leads && !std::mem::replace(&mut led, leads);
        let age = published.fleet().endpoint_list_age(started);
        let stale = age.is_none_or(|age| age >= STALE_LIST);
        let due = started >= read_at + interval && (leads || stale);
        if !elected && !due {
            continue;
        }
        read_at = started;
        let result = source.read().await;
        if result.is_ok() != reachable {
            reachable = result.is_ok();
            event!(Info, "endpoint_list_reachable_changed", "reachable" => reachable);
        }
        match result {
            Ok(reading) => {
                interval = reading_interval(reading.calls, max_rate);
                let list = EndpointList::new(reading.endpoints, started);
                published.set_endpoints(list);
            }
            Err(e) => event!(Warn, "endpoint_list_unreadable", "reason" => e),
        }
    }
}

/// Pulls the views of the other replicas until the future is dropped.
pub(crate) async fn exchange_views(
    peers: Rc<Peers>,
    replicas: ReplicaSet,
    published: Rc<Published>,
    clock: Arc<dyn Clock>,
) {
    loop {
        tokio::time::sleep(EXCHANGE_INTERVAL).await;
        let members = match published.members.borrow().is_empty() {
            true => replicas.initial_ids(),
            false => published.members.borrow().clone(),
        };
        let links = members.into_iter().filter_map(|m| peers.link(m));
        let pulls = links.map(|link| {
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
        join_all(pulls).await;
    }
}
