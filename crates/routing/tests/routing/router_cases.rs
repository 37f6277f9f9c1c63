use crate::fixture::*;
use mangospindle_model::ErrorKind::*;
use mangospindle_model::RequestClass::{AtMostOnce, Read, Upload};
use mangospindle_model::{EndpointId, EntryId, ErrorKind, Weights};
use mangospindle_routing::{Attempts, OwnerEvent, RetryDecision, Router, TargetStats};
use mangospindle_state::{Config, Takeover};
use std::sync::Arc;
use std::time::Duration;

/// Time after which new owners have ramped up.
const WARM: Duration = TargetStats::SLOW_START_WINDOW;

/// How an owner treats all requests.
#[derive(Clone, Copy)]
enum Does {
    Answer(u64),
    Fail,
    TimeOut,
    Refuse,
    /// Answers and reports this number of free slots.
    Report(u32),
}
use Does::*;

/// Entries 0 and 1 are in region 0, entries 2 and 3 in region 1; each owns four endpoints.
fn deployment(change: fn(&mut Config)) -> Config {
    let mut config = config(topology(&shape(2, 1, 2, 4), 1, &[]), profile(100, 0.1));
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

fn weights(c: &mut Config, latency: f64, headroom: f64, drain: f64) {
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

fn read(now: Duration) -> Attempts {
    Attempts::new(READS, Read, HOME, now + ms(5_000))
}

/// Sends 100 requests per second from `from` on, without retries; returns the shares of the owners.
fn run(router: &mut Router, from: Duration, requests: u64, owners: [Does; 4]) -> [f64; 4] {
    let mut sent = [0.0; 4];
    let mut ends: Vec<(Duration, EntryId, OwnerEvent)> = Vec::new();
    let report = |router: &mut Router, ends: &mut Vec<(Duration, EntryId, OwnerEvent)>, now| {
        ends.sort_by_key(|e| e.0);
        let due = ends.partition_point(|e| e.0 <= now);
        for (at, owner, event) in ends.drain(..due) {
            if let OwnerEvent::ResponseComplete { after } = event {
                router.observe(at, owner, READS, OwnerEvent::ResponseStarted { after });
            }
            router.observe(at, owner, READS, event);
        }
    };
    for i in 0..requests {
        let now = from + ms(10) * i as u32;
        report(router, &mut ends, now);
        let owner = router.choose_owner(now, &mut read(now)).expect("an owner");
        sent[owner.index()] += 1.0 / requests as f64;
        let way = if owner.0 < 2 { 1 } else { 40 };
        let (after, event) = match owners[owner.index()] {
            Answer(after) => (
                after + way,
                OwnerEvent::ResponseComplete {
                    after: ms(after + way),
                },
            ),
            Fail => (way, OwnerEvent::Failed),
            TimeOut => (1_000, OwnerEvent::TimedOut),
            Refuse => (way, OwnerEvent::Refused { kind: NoCapacity }),
            Report(free) => {
                router.observe(now, owner, READS, OwnerEvent::FreeSlots { free });
                (5 + way, OwnerEvent::ResponseComplete { after: ms(5 + way) })
            }
        };
        ends.push((now + ms(after), owner, event));
    }
    report(router, &mut ends, Duration::MAX);
    sent
}

/// Guards against owners that attract traffic although they fail, refuse, are slow, leave or only
/// claim to be free, and against cross-region traffic without need.
#[test]
fn shares_of_owners() {
    /// Name, change of the configuration, owners, least and largest share of each in percent.
    struct Case(&'static str, fn(&mut Config), [Does; 4], [u8; 4], [u8; 4]);
    let none: fn(&mut Config) = |_| {};
    let headroom: fn(&mut Config) = |c| weights(c, 0.1, 1.0, 0.0);
    let drain: fn(&mut Config) = |c| {
        weights(c, 0.2, 0.2, 1.0);
        c.apply(&set_leaving(0));
    };
    let gone: fn(&mut Config) = |c| c.apply(&set_fenced(1));
    let (ok, slow) = (Answer(5), Answer(500));
    let busy = [Report(0), Report(12), ok, ok];
    let (both, second, away) = ([40, 40, 0, 0], [0, 90, 0, 0], [0, 0, 30, 30]);
    let (both_most, most) = ([60, 60, 0, 0], [10, 100, 10, 10]);
    let cases = [
        Case("equal", none, [ok; 4], both, both_most),
        Case(
            "fails fast",
            none,
            [Fail, ok, ok, ok],
            second,
            [7, 100, 10, 10],
        ),
        Case(
            "times out",
            none,
            [TimeOut, ok, ok, ok],
            [0, 80, 0, 0],
            most,
        ),
        Case(
            "slow",
            none,
            [Answer(50), ok, ok, ok],
            second,
            [10, 100, 0, 0],
        ),
        Case(
            "home slow",
            none,
            [slow, slow, ok, ok],
            away,
            [5, 5, 70, 70],
        ),
        Case(
            "home full",
            none,
            [Refuse, Refuse, ok, ok],
            away,
            [20, 20, 60, 60],
        ),
        Case("reports full, answers well", none, busy, both, both_most),
        Case("reports full, headroom first", headroom, busy, second, most),
        Case("leaving, drain first", drain, [ok; 4], second, most),
        Case("all fail", none, [Fail; 4], [0; 4], [60; 4]),
        Case("fenced", gone, [ok; 4], [99, 0, 0, 0], [101, 0, 0, 0]),
    ];
    for Case(name, change, owners, least, most) in cases {
        let mut router = router(change);
        run(&mut router, WARM, 200, [ok; 4]);
        let sent = run(&mut router, WARM * 2, 2_000, owners);
        let range = |i: usize| f64::from(least[i]) - 1e-6..=f64::from(most[i]) + 1e-6;
        assert!(
            (0..4).all(|i| range(i).contains(&(sent[i] * 100.0))),
            "{name}: {sent:?}"
        );
        assert!(
            router.ejected_owners(WARM * 2 + ms(20_000), READS).len() <= 2,
            "{name}"
        );
    }
}

/// Guards against a full load on new and restored owners.
#[test]
fn new_and_restored_owners_ramp_up() {
    let mut router = router(|c| {
        let moved = (4..8).map(EndpointId);
        moved.for_each(|e| c.apply(&set_owner(e, Some(EntryId(0)), 3, Takeover::Clean)));
    });
    run(&mut router, WARM, 100, [Answer(5); 4]);
    let at = WARM + ms(1_000);
    let grown = deployment(|c| c.version += 10);
    router.update_config(at, Arc::new(grown));
    let new = run(&mut router, at, 100, [Answer(5); 4])[1];
    let ramped = run(&mut router, at + WARM, 400, [Answer(5); 4])[1];
    assert!(new > 0.0 && new < 0.25 && ramped > 0.4, "{new} {ramped}");
    run(
        &mut router,
        at + WARM * 2,
        100,
        [Answer(5), Fail, Answer(5), Answer(5)],
    );
    let restored = at + WARM * 2 + ms(2_500);
    assert!(router.ejected_owners(restored, READS).is_empty());
    let share = run(&mut router, restored, 100, [Answer(5); 4])[1];
    assert!(share < 0.35, "{share}");
}

/// Guards against a second execution of what may have run, and against endless attempts.
#[test]
fn what_is_attempted_again() {
    /// Class, error, number of further attempts.
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
        // Two redirects and four waits: the endpoints may be on the way to another owner.
        Case(AtMostOnce, NoEndpoint, 6),
        Case(AtMostOnce, NoQuorum, 0),
    ];
    for Case(class, kind, again) in cases {
        let mut router = router(|_| {});
        let mut attempts = Attempts {
            class,
            ..read(WARM)
        };
        let mut delays = Vec::new();
        router.choose_owner(WARM, &mut attempts).expect("an owner");
        while let RetryDecision::Retry { delay } = router.after_failure(WARM, &mut attempts, kind) {
            delays.push(delay);
            let owner = router
                .choose_owner(WARM, &mut attempts)
                .expect("another owner");
            assert_eq!(attempts.tried.iter().filter(|e| **e == owner).count(), 1);
        }
        assert_eq!(delays.len(), again, "{class:?} {kind:?}");
        let longest = |i: usize| if i < 2 { ms(50) } else { ms(150) };
        assert!((delays.iter().enumerate()).all(|(i, d)| *d < longest(i)));
        assert!(again < 2 || delays[0] != delays[1]);
        let late = Attempts {
            class,
            deadline: WARM,
            ..read(WARM)
        };
        assert_eq!(
            router.after_failure(WARM, &mut late.clone(), kind),
            RetryDecision::GiveUp
        );
        assert!(router.choose_owner(WARM, &mut late.clone()).is_err());
    }
}

/// Guards against retries and hedges that multiply the load of a failing service, and against
/// hedges of anything but reads.
#[test]
fn retries_and_hedges_stay_in_the_budget() {
    let mut router = router(|_| {});
    let (mut retries, mut hedges) = (0, 0);
    for i in 0..1_000 {
        let now = WARM + ms(i);
        let mut attempts = read(now);
        router.choose_owner(now, &mut attempts).expect("an owner");
        let hedged = router.hedge(now, &mut attempts).is_some();
        assert!(!hedged || router.hedge(now, &mut attempts).is_none());
        hedges += u32::from(hedged);
        retries += match router.after_failure(now, &mut attempts, UpstreamFailed) {
            RetryDecision::Retry { .. } => 1,
            RetryDecision::GiveUp => 0,
        };
    }
    // A tenth of the requests, and the ten tokens at the start.
    assert!(
        hedges > 0 && (105..=110).contains(&(retries + hedges)),
        "{retries} {hedges}"
    );
    for class in [Upload, AtMostOnce] {
        let mut attempts = Attempts {
            class,
            ..read(WARM)
        };
        assert_eq!(router.hedge_delay(&attempts), None);
        assert_eq!(router.hedge(WARM, &mut attempts), None);
    }
    assert_eq!(router.hedge_delay(&read(WARM)), Some(ms(20)));
}

/// Guards against callers that return at the same moment, or sooner the more are refused.
#[test]
fn retry_after_is_jittered_and_grows() {
    let mut router = router(|_| {});
    let mean = |router: &mut Router, now| {
        let draws: Vec<_> = (0..500)
            .map(|_| router.retry_after(now, READS).as_secs_f64())
            .collect();
        assert!(draws.iter().all(|d| (1.0..=15.0).contains(d)));
        let distinct = draws
            .iter()
            .map(|d| d.to_bits())
            .collect::<std::collections::HashSet<_>>();
        assert!(distinct.len() > 400);
        draws.iter().sum::<f64>() / 500.0
    };
    let calm = mean(&mut router, WARM);
    run(&mut router, WARM, 500, [Refuse; 4]);
    let pressed = mean(&mut router, WARM + ms(5_000));
    let later = mean(&mut router, WARM + ms(60_000));
    assert!(
        calm < 1.6 && pressed > 4.0 && later < 1.6,
        "{calm} {pressed} {later}"
    );
}
