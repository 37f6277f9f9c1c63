use crate::fixture::*;
use mangospindle_model::ErrorKind::*;
use mangospindle_model::RequestClass::{AtMostOnce, Read, Upload};
use mangospindle_model::{EndpointId, EntryId, ErrorKind, Weights};
use mangospindle_routing::{Attempts, OwnerEvent, RetryDecision, Router, TargetStats};
use mangospindle_state::{Config, Takeover};
use std::sync::Arc;
use std::time::Duration;

/// Time until the slow start of new owners has ended.
const WARM_UP: Duration = TargetStats::SLOW_START_WINDOW;

/// How an owner handles all requests. Response times are in milliseconds, without the network.
#[derive(Clone, Copy)]
enum OwnerBehaviour {
    Respond(u64),
    Fail,
    TimeOut,
    Refuse,
    /// Responds after 5 ms and reports this number of free slots.
    RespondAndReport(u32),
}
use OwnerBehaviour::*;

/// Entries 0 and 1 are in region 0, entries 2 and 3 in region 1. Each entry owns four endpoints.
fn deployment(change: fn(&mut Config)) -> Config {
    let mut config = config(
        topology(&uniform_shape(2, 1, 2, 4), 1, &[]),
        profile(100, 0.1),
    );
    for id in config.topology.endpoint_ids() {
        let owner = Some(EntryId(id.0 as u16 / 4));
        config.apply(&set_owner(id, owner, 2, Takeover::Clean));
    }
    change(&mut config);
    config
}

fn router(change: fn(&mut Config)) -> Router {
    let mut router = Router::new(EntryId(0), 7);
    router.update_config(Duration::ZERO, Arc::new(deployment(change)));
    router
}

fn set_weights(c: &mut Config, latency: f64, headroom: f64, drain: f64) {
    let weights = Weights {
        latency,
        headroom,
        drain,
    };
    c.apply(&put_profile(mangospindle_model::Profile {
        weights,
        ..profile(100, 0.1)
    }));
}

fn read_request(now: Duration) -> Attempts {
    Attempts::new(SERVICE, Read, HOME, now + ms(5_000))
}

/// Sends 100 requests per second without retries, starting at `from`. Returns the fraction of the
/// requests that each owner received.
fn send_requests(
    router: &mut Router,
    from: Duration,
    requests: u64,
    owners: [OwnerBehaviour; 4],
) -> [f64; 4] {
    let mut fractions = [0.0; 4];
    let mut pending: Vec<(Duration, EntryId, OwnerEvent)> = Vec::new();
    let deliver = |router: &mut Router, pending: &mut Vec<(Duration, EntryId, OwnerEvent)>, now| {
        pending.sort_by_key(|e| e.0);
        let due = pending.partition_point(|e| e.0 <= now);
        for (at, owner, event) in pending.drain(..due) {
            if let OwnerEvent::ResponseComplete { after } = event {
                router.observe(at, owner, SERVICE, OwnerEvent::ResponseStarted { after });
            }
            router.observe(at, owner, SERVICE, event);
        }
    };
    for i in 0..requests {
        let now = from + ms(10) * i as u32;
        deliver(router, &mut pending, now);
        let owner = router
            .choose_owner(now, &mut read_request(now))
            .expect("an owner is available");
        fractions[owner.index()] += 1.0 / requests as f64;
        let round_trip_ms = if owner.0 < 2 { 1 } else { 40 };
        let (after, event) = match owners[owner.index()] {
            Respond(after) => (
                after + round_trip_ms,
                OwnerEvent::ResponseComplete {
                    after: ms(after + round_trip_ms),
                },
            ),
            Fail => (round_trip_ms, OwnerEvent::Failed),
            TimeOut => (1_000, OwnerEvent::TimedOut),
            Refuse => (round_trip_ms, OwnerEvent::Refused { kind: NoCapacity }),
            RespondAndReport(free) => {
                router.observe(now, owner, SERVICE, OwnerEvent::FreeSlots { free });
                (
                    5 + round_trip_ms,
                    OwnerEvent::ResponseComplete {
                        after: ms(5 + round_trip_ms),
                    },
                )
            }
        };
        pending.push((now + ms(after), owner, event));
    }
    deliver(router, &mut pending, Duration::MAX);
    fractions
}

/// Guards against owners that attract traffic although they fail, refuse requests, are slow, leave
/// or merely report free slots, and against unnecessary cross-region traffic.
#[test]
fn traffic_is_split_between_owners() {
    /// Name, change to the configuration, behaviour of the owners, and the minimum and maximum
    /// percentage of the requests for each owner.
    struct Case(
        &'static str,
        fn(&mut Config),
        [OwnerBehaviour; 4],
        [u8; 4],
        [u8; 4],
    );
    let unchanged: fn(&mut Config) = |_| {};
    let headroom: fn(&mut Config) = |c| set_weights(c, 0.1, 1.0, 0.0);
    let drain: fn(&mut Config) = |c| {
        set_weights(c, 0.2, 0.2, 1.0);
        c.apply(&set_leaving(0));
    };
    let fence: fn(&mut Config) = |c| c.apply(&set_fenced(1));
    let (ok, slow) = (Respond(5), Respond(500));
    let busy = [RespondAndReport(0), RespondAndReport(12), ok, ok];
    let (both_min, second_min, remote_min) = ([40, 40, 0, 0], [0, 90, 0, 0], [0, 0, 30, 30]);
    let (both_max, second_max) = ([60, 60, 0, 0], [10, 100, 10, 10]);
    let cases = [
        Case("equal", unchanged, [ok; 4], both_min, both_max),
        Case(
            "fails fast",
            unchanged,
            [Fail, ok, ok, ok],
            second_min,
            [7, 100, 10, 10],
        ),
        Case(
            "times out",
            unchanged,
            [TimeOut, ok, ok, ok],
            [0, 80, 0, 0],
            second_max,
        ),
        Case(
            "slow",
            unchanged,
            [Respond(50), ok, ok, ok],
            second_min,
            [10, 100, 0, 0],
        ),
        Case(
            "home slow",
            unchanged,
            [slow, slow, ok, ok],
            remote_min,
            [5, 5, 70, 70],
        ),
        Case(
            "home full",
            unchanged,
            [Refuse, Refuse, ok, ok],
            remote_min,
            [20, 20, 60, 60],
        ),
        Case(
            "reports full, responds well",
            unchanged,
            busy,
            both_min,
            both_max,
        ),
        Case(
            "reports full, headroom first",
            headroom,
            busy,
            second_min,
            second_max,
        ),
        Case(
            "leaving, drain first",
            drain,
            [ok; 4],
            second_min,
            second_max,
        ),
        Case("all fail", unchanged, [Fail; 4], [0; 4], [60; 4]),
        Case("fenced", fence, [ok; 4], [99, 0, 0, 0], [101, 0, 0, 0]),
    ];
    for Case(name, change, owners, min_percent, max_percent) in cases {
        let mut router = router(change);
        send_requests(&mut router, WARM_UP, 200, [ok; 4]);
        let fractions = send_requests(&mut router, WARM_UP * 2, 2_000, owners);
        let range = |i: usize| f64::from(min_percent[i]) - 1e-6..=f64::from(max_percent[i]) + 1e-6;
        assert!(
            (0..4).all(|i| range(i).contains(&(fractions[i] * 100.0))),
            "{name}: {fractions:?}"
        );
        assert!(
            router
                .ejected_owners(WARM_UP * 2 + ms(20_000), SERVICE)
                .len()
                <= 2,
            "{name}"
        );
    }
}

/// Guards against full load on new owners and on owners whose ejection has ended.
#[test]
fn new_and_restored_owners_start_slowly() {
    let mut router = router(|c| {
        let moved = (4..8).map(EndpointId);
        moved.for_each(|e| c.apply(&set_owner(e, Some(EntryId(0)), 3, Takeover::Clean)));
    });
    send_requests(&mut router, WARM_UP, 100, [Respond(5); 4]);
    let at = WARM_UP + ms(1_000);
    let with_all_owners = deployment(|c| c.version += 10);
    router.update_config(at, Arc::new(with_all_owners));
    let new = send_requests(&mut router, at, 100, [Respond(5); 4])[1];
    let after_window = send_requests(&mut router, at + WARM_UP, 400, [Respond(5); 4])[1];
    assert!(
        new > 0.0 && new < 0.25 && after_window > 0.4,
        "{new} {after_window}"
    );
    send_requests(
        &mut router,
        at + WARM_UP * 2,
        100,
        [Respond(5), Fail, Respond(5), Respond(5)],
    );
    let restored = at + WARM_UP * 2 + ms(2_500);
    assert!(router.ejected_owners(restored, SERVICE).is_empty());
    let restored_fraction = send_requests(&mut router, restored, 100, [Respond(5); 4])[1];
    assert!(restored_fraction < 0.35, "{restored_fraction}");
}

/// Guards against a second execution of a request that may have run, and against unlimited retries.
#[test]
fn only_safe_requests_are_retried() {
    /// Request class, error, and the expected number of retries.
    struct Case(mangospindle_model::RequestClass, ErrorKind, usize);
    let cases = [
        Case(Read, UpstreamFailed, 2),
        Case(Read, DeadlineExceeded, 2),
        Case(Read, NoCapacity, 2),
        Case(Read, BadRequest, 0),
        Case(Upload, UpstreamFailed, 0),
        Case(Upload, Shed, 2),
        Case(AtMostOnce, UpstreamFailed, 0),
        Case(AtMostOnce, DeadlineExceeded, 0),
        Case(AtMostOnce, OutcomeUnknown, 0),
        // Two redirects and four waits, because the endpoints may be changing owners.
        Case(AtMostOnce, NoEndpoint, 6),
        Case(AtMostOnce, NoQuorum, 0),
    ];
    for Case(class, kind, expected_retries) in cases {
        let mut router = router(|_| {});
        let mut attempts = Attempts {
            class,
            ..read_request(WARM_UP)
        };
        let mut delays = Vec::new();
        router
            .choose_owner(WARM_UP, &mut attempts)
            .expect("an owner is available");
        while let RetryDecision::Retry { delay } =
            router.after_failure(WARM_UP, &mut attempts, kind)
        {
            delays.push(delay);
            let owner = router
                .choose_owner(WARM_UP, &mut attempts)
                .expect("another owner is available");
            assert_eq!(attempts.tried.iter().filter(|e| **e == owner).count(), 1);
        }
        assert_eq!(delays.len(), expected_retries, "{class:?} {kind:?}");
        let longest = |i: usize| if i < 2 { ms(50) } else { ms(150) };
        assert!((delays.iter().enumerate()).all(|(i, d)| *d < longest(i)));
        assert!(expected_retries < 2 || delays[0] != delays[1]);
        let expired = Attempts {
            class,
            deadline: WARM_UP,
            ..read_request(WARM_UP)
        };
        assert_eq!(
            router.after_failure(WARM_UP, &mut expired.clone(), kind),
            RetryDecision::GiveUp
        );
        assert!(router.choose_owner(WARM_UP, &mut expired.clone()).is_err());
    }
}

/// Guards against retries and hedges that multiply the load on a failing service, and against
/// hedging of requests other than reads.
#[test]
fn retries_and_hedges_stay_within_budget() {
    let mut router = router(|_| {});
    let (mut retries, mut hedges) = (0, 0);
    for i in 0..1_000 {
        let now = WARM_UP + ms(i);
        let mut attempts = read_request(now);
        router
            .choose_owner(now, &mut attempts)
            .expect("an owner is available");
        let hedged = router.hedge(now, &mut attempts).is_some();
        assert!(!hedged || router.hedge(now, &mut attempts).is_none());
        hedges += u32::from(hedged);
        retries += match router.after_failure(now, &mut attempts, UpstreamFailed) {
            RetryDecision::Retry { .. } => 1,
            RetryDecision::GiveUp => 0,
        };
    }
    // A tenth of the requests, plus the ten tokens of the initial budget.
    assert!(
        hedges > 0 && (105..=110).contains(&(retries + hedges)),
        "{retries} {hedges}"
    );
    for class in [Upload, AtMostOnce] {
        let mut attempts = Attempts {
            class,
            ..read_request(WARM_UP)
        };
        assert_eq!(router.hedge_delay(&attempts), None);
        assert_eq!(router.hedge(WARM_UP, &mut attempts), None);
    }
    assert_eq!(router.hedge_delay(&read_request(WARM_UP)), Some(ms(20)));
}

/// Guards against callers that all retry at the same time, and against a `Retry-After` that does
/// not grow with the fraction of refused requests.
#[test]
fn retry_after_is_jittered_and_grows() {
    let mut router = router(|_| {});
    let mean = |router: &mut Router, now| {
        let draws: Vec<_> = (0..500)
            .map(|_| router.retry_after(now, SERVICE).as_secs_f64())
            .collect();
        assert!(draws.iter().all(|d| (1.0..=15.0).contains(d)));
        let distinct = draws
            .iter()
            .map(|d| d.to_bits())
            .collect::<std::collections::HashSet<_>>();
        assert!(distinct.len() > 400);
        draws.iter().sum::<f64>() / 500.0
    };
    let idle_s = mean(&mut router, WARM_UP);
    send_requests(&mut router, WARM_UP, 500, [Refuse; 4]);
    let loaded_s = mean(&mut router, WARM_UP + ms(5_000));
    let decayed_s = mean(&mut router, WARM_UP + ms(60_000));
    assert!(
        idle_s < 1.6 && loaded_s > 4.0 && decayed_s < 1.6,
        "{idle_s} {loaded_s} {decayed_s}"
    );
}
