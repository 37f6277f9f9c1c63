//! Tests of cold starts of an endpoint that is listed as cold already.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use mangospindle_fleet::{
    EndpointCopy, EndpointList, EndpointRecord, EndpointState, EndpointUpdate, ExchangeReply,
    ExchangeRequest, Fleet, KnownVersions, PeerKey,
};
use std::time::Duration;

const LEADER: PeerKey = PeerKey(1);
const COLD_START: Duration = ms(3_000);
const ENDPOINTS: u8 = 4;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A list in which one endpoint is cold for `cold_for`.
fn list(read_at: Duration, cold_for: Duration) -> EndpointList {
    let record = |n: u8| EndpointRecord {
        instance: format!("i-{n}"),
        service: "s".to_string(),
        address: ([10, 0, 0, n], 8080).into(),
        failure_domain: "a".to_string(),
        slots: 3,
        state: EndpointState::Ready,
        cold_for: match n {
            0 => cold_for,
            _ => Duration::ZERO,
        },
    };
    EndpointList::new((0..ENDPOINTS).map(record).collect(), read_at)
}

/// Lets an entry exchange with a replica. Returns the cold start of which it learns.
fn exchange(now: Duration, replica: &mut Fleet, copy: &mut EndpointCopy) -> Option<Duration> {
    let request = ExchangeRequest {
        entry: None,
        wants_entries: false,
        known_list: copy.digest(),
        differences: Some(KnownVersions::default()),
    };
    let reply = replica.respond(now, request, Vec::new());
    let mut reply = ExchangeReply::decode(&reply.encode()).unwrap();
    let changed = match copy.apply(now, &mut reply).unwrap() {
        EndpointUpdate::Unchanged => Vec::new(),
        EndpointUpdate::Whole(list) => list,
        EndpointUpdate::Difference(difference) => difference.changed,
    };
    let first = changed.iter().find(|e| e.instance == "i-0");
    first.map(|e| e.cold_for).filter(|c| !c.is_zero())
}

/// Guards against an endpoint that starts twice in a short time under its identifier, and entries that
/// only know of the first cold start and send it the full load in the second.
#[test]
fn entries_learn_of_a_cold_start_during_or_right_after_another() {
    struct Case {
        name: &'static str,
        /// When the second cold start begins, after the first one; `None` if there is only one.
        again_after: Option<Duration>,
        /// Variation of the remaining time between two readings of the same cold start.
        jitter: Duration,
        /// Whether the entry learns of it from a replica that follows the leader.
        by_follower: bool,
        learns: bool,
    }
    let cases = [
        Case {
            name: "during the first",
            again_after: Some(ms(2_000)),
            jitter: ms(0),
            by_follower: false,
            learns: true,
        },
        Case {
            name: "while the end of the first is still reported",
            again_after: Some(ms(3_500)),
            jitter: ms(0),
            by_follower: false,
            learns: true,
        },
        Case {
            name: "from a follower",
            again_after: Some(ms(2_000)),
            jitter: ms(0),
            by_follower: true,
            learns: true,
        },
        Case {
            name: "no second one",
            again_after: None,
            jitter: ms(100),
            by_follower: false,
            learns: false,
        },
    ];
    let start = ms(10_000);
    let interval = ms(700);
    for case in cases {
        let (mut leader, mut follower) = (Fleet::new(1), Fleet::new(2));
        let mut copy = EndpointCopy::default();
        let mut learned_at = Vec::new();
        let second = case.again_after.map(|after| start + after);
        for n in 0..7 {
            let now = start + interval * n;
            let latest = second.filter(|at| *at <= now).unwrap_or(start);
            let cold_for = (latest + COLD_START).saturating_sub(now);
            let jitter = case.jitter * (n % 2);
            leader.set_endpoint_list(list(now, cold_for.saturating_sub(jitter)));
            let request = follower.request_to(LEADER, false);
            let reply = leader.respond(now + ms(10), request, Vec::new());
            follower.merge(now + ms(20), now + ms(10), LEADER, reply);
            let replica = match case.by_follower {
                true => &mut follower,
                false => &mut leader,
            };
            if exchange(now + ms(100), replica, &mut copy).is_some() {
                learned_at.push(now);
            }
        }
        let learned = learned_at.iter().any(|at| *at > start);
        assert_eq!(learned, case.learns, "{}: {learned_at:?}", case.name);
    }
}
