use crate::fixture::*;
use mangospindle_model::{EntryId, ErrorKind, RegionId, RequestClass};
use mangospindle_routing::{Attempts, OwnerEvent, RetryDecision, Router, TargetStats};
use mangospindle_state::{Config, EntryStatus};
use std::sync::Arc;
use std::time::Duration;

/// Entries 0 and 1 are in region 0, entries 2 and 3 in region 1; each owns four endpoints.
const SHAPE: Shape = Shape {
    regions: 2,
    domains: 1,
    entries: 2,
    endpoints: 4,
};
/// Time after which new owners have ramped up.
const WARM: Duration = TargetStats::SLOW_START;

#[derive(Clone, Copy, PartialEq)]
enum Does {
    Answer(u64),
    Fail(u64),
    TimeOut,
    Refuse(ErrorKind),
    /// Answers and reports this number of free slots.
    Report(u32),
}
use Does::*;

fn router(change: fn(&mut Config)) -> Router {
    let mut config = config(SHAPE, &[], profile(1.0, 0.0, 0.0));
    change(&mut config);
    let mut router = Router::new(EntryId(0), 7);
    router.update_config(Duration::ZERO, Arc::new(config));
    router
}

fn read(now: Duration) -> Attempts {
    Attempts::new(READS, RequestClass::Read, RegionId(0), now + ms(5_000))
}

/// Sends 100 requests per second from `from` on, without retries; returns the shares of the owners.
fn run(router: &mut Router, from: Duration, requests: u64, owners: [Does; 4]) -> [f64; 4] {
    let mut sent = [0.0; 4];
    let mut ends: Vec<(Duration, EntryId, OwnerEvent)> = Vec::new();
    let report = |router: &mut Router, ends: &mut Vec<(Duration, EntryId, OwnerEvent)>, now| {
        ends.sort_by_key(|e| e.0);
        let due = ends.partition_point(|e| e.0 <= now);
        for (at, owner, event) in ends.drain(..due) {
            if let OwnerEvent::AnswerComplete { after } = event {
                router.observe(at, owner, READS, OwnerEvent::AnswerStarted { after });
            }
            router.observe(at, owner, READS, event);
        }
    };
    for i in 0..requests {
        let now = from + ms(10) * i as u32;
        report(router, &mut ends, now);
        let owner = router.choose(now, &mut read(now)).expect("an owner");
        sent[owner.index()] += 1.0 / requests as f64;
        let way = if owner.0 < 2 { 1 } else { 40 };
        let (after, event) = match owners[owner.index()] {
            Answer(after) => (
                after + way,
                OwnerEvent::AnswerComplete {
                    after: ms(after + way),
                },
            ),
            Fail(after) => (after + way, OwnerEvent::Failed),
            TimeOut => (1_000, OwnerEvent::TimedOut),
            Refuse(kind) => (way, OwnerEvent::Refused { kind }),
            Report(free) => {
                router.observe(now, owner, READS, OwnerEvent::FreeSlots { free });
                (5 + way, OwnerEvent::AnswerComplete { after: ms(5 + way) })
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
    struct Case {
        name: &'static str,
        change: fn(&mut Config),
        owners: [Does; 4],
        least: [f64; 4],
        most: [f64; 4],
    }
    let none: fn(&mut Config) = |_| {};
    let full = Refuse(ErrorKind::NoCapacity);
    let drain: fn(&mut Config) = |c| {
        c.apply(&mangospindle_state::ConfigChange::PutProfile(
            mangospindle_state::VersionedProfile {
                version: 2,
                profile: profile(0.2, 0.2, 1.0),
            },
        ));
        set_status(c, 0, EntryStatus::Leaving { incarnation: 1 });
    };
    let headroom: fn(&mut Config) = |c| {
        c.apply(&mangospindle_state::ConfigChange::PutProfile(
            mangospindle_state::VersionedProfile {
                version: 2,
                profile: profile(0.1, 1.0, 0.0),
            },
        ));
    };
    let case = |name, change, owners, least, most| Case {
        name,
        change,
        owners,
        least,
        most,
    };
    let local = [0.4, 0.4, 0.0, 0.0];
    let local_most = [0.6, 0.6, 0.0, 0.0];
    let cases = [
        case("equal", none, [Answer(5); 4], local, local_most),
        case(
            "fails fast",
            none,
            [Fail(0), Answer(5), Answer(5), Answer(5)],
            [0.0, 0.9, 0.0, 0.0],
            [0.07, 1.0, 0.1, 0.1],
        ),
        case(
            "times out",
            none,
            [TimeOut, Answer(5), Answer(5), Answer(5)],
            [0.0, 0.8, 0.0, 0.0],
            [0.1, 1.0, 0.1, 0.1],
        ),
        case(
            "slow",
            none,
            [Answer(50), Answer(5), Answer(5), Answer(5)],
            [0.0, 0.9, 0.0, 0.0],
            [0.1, 1.0, 0.0, 0.0],
        ),
        case(
            "home region slow",
            none,
            [Answer(500), Answer(500), Answer(5), Answer(5)],
            [0.0, 0.0, 0.4, 0.4],
            [0.05, 0.05, 0.6, 0.6],
        ),
        case(
            "home region full",
            none,
            [full, full, Answer(5), Answer(5)],
            [0.0, 0.0, 0.3, 0.3],
            [0.2, 0.2, 0.6, 0.6],
        ),
        case(
            "reports full, answers well",
            none,
            [Report(0), Report(12), Answer(5), Answer(5)],
            local,
            local_most,
        ),
        case(
            "reports full, headroom first",
            headroom,
            [Report(0), Report(12), Answer(5), Answer(5)],
            [0.0, 0.9, 0.0, 0.0],
            [0.1, 1.0, 0.0, 0.0],
        ),
        case(
            "leaving, drain first",
            drain,
            [Answer(5); 4],
            [0.0, 0.9, 0.0, 0.0],
            [0.1, 1.0, 0.0, 0.0],
        ),
        case("all fail", none, [Fail(0); 4], [0.0; 4], [0.6; 4]),
        case(
            "unresponsive and fenced",
            |c| set_status(c, 1, EntryStatus::Fenced),
            [Answer(5); 4],
            [1.0, 0.0, 0.0, 0.0],
            [1.1, 0.0, 0.0, 0.0],
        ),
    ];
    for Case {
        name,
        change,
        owners,
        least,
        most,
    } in cases
    {
        let mut router = router(change);
        run(&mut router, WARM, 200, [Answer(5); 4]);
        let sent = run(&mut router, WARM * 2, 2_000, owners);
        let ok = (0..4).all(|i| (least[i] - 1e-9..=most[i]).contains(&sent[i]));
        assert!(ok, "{name}: {sent:?}");
        assert!(
            router.ejected(WARM * 2 + ms(20_000), READS).len() <= 2,
            "{name}"
        );
    }
}

/// Guards against a full load on new and restored owners.
#[test]
fn new_and_restored_owners_ramp_up() {
    let mut router = router(|c| (4..8).for_each(|e| set_owner(c, e, 0)));
    run(&mut router, WARM, 100, [Answer(5); 4]);
    let grown = config(SHAPE, &[], profile(1.0, 0.0, 0.0));
    let at = WARM + ms(1_000);
    let version = grown.version + 10;
    router.update_config(at, Arc::new(Config { version, ..grown }));
    let new = run(&mut router, at, 100, [Answer(5); 4])[1];
    let ramped = run(&mut router, at + WARM, 400, [Answer(5); 4])[1];
    assert!(new > 0.0 && new < 0.25 && ramped > 0.4, "{new} {ramped}");
    let at = at + WARM * 2;
    run(
        &mut router,
        at,
        100,
        [Answer(5), Fail(0), Answer(5), Answer(5)],
    );
    let restored = at + ms(2_500);
    assert!(router.ejected(restored, READS).is_empty());
    let share = run(&mut router, restored, 100, [Answer(5); 4])[1];
    assert!(share < 0.35, "{share}");
}

/// Guards against a second execution of what may have run, and against endless attempts.
#[test]
fn what_is_attempted_again() {
    struct Case {
        class: RequestClass,
        kind: ErrorKind,
        again: u32,
    }
    use ErrorKind::*;
    use RequestClass::*;
    let case = |class, kind, again| Case { class, kind, again };
    let cases = [
        case(Read, UpstreamFailed, 2),
        case(Read, DeadlineExceeded, 2),
        case(Read, NoCapacity, 2),
        case(Read, BadRequest, 0),
        case(Upload, UpstreamFailed, 0),
        case(Upload, Shed, 2),
        case(AtMostOnce, UpstreamFailed, 0),
        case(AtMostOnce, DeadlineExceeded, 0),
        case(AtMostOnce, OutcomeUnknown, 0),
        case(AtMostOnce, NoEndpoint, 2),
        case(AtMostOnce, NoQuorum, 0),
    ];
    for Case { class, kind, again } in cases {
        let mut router = router(|_| {});
        let mut attempts = Attempts {
            class,
            ..read(WARM)
        };
        let mut delays = Vec::new();
        router.choose(WARM, &mut attempts).expect("an owner");
        while let RetryDecision::Retry { delay } = router.after_failure(WARM, &mut attempts, kind) {
            delays.push(delay);
            let owner = router.choose(WARM, &mut attempts).expect("another owner");
            assert_eq!(attempts.tried.iter().filter(|e| **e == owner).count(), 1);
        }
        assert_eq!(delays.len() as u32, again, "{class:?} {kind:?}");
        assert!(delays.iter().all(|d| *d < ms(50)) && (again < 2 || delays[0] != delays[1]));
        let late = Attempts {
            class,
            deadline: WARM,
            ..read(WARM)
        };
        assert_eq!(
            router.after_failure(WARM, &mut late.clone(), kind),
            RetryDecision::GiveUp
        );
        assert!(router.choose(WARM, &mut late.clone()).is_err());
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
        router.choose(now, &mut attempts).expect("an owner");
        let hedged = router.hedge(now, &mut attempts).is_some();
        assert!(!hedged || router.hedge(now, &mut attempts).is_none());
        hedges += u32::from(hedged);
        retries += match router.after_failure(now, &mut attempts, ErrorKind::UpstreamFailed) {
            RetryDecision::Retry { .. } => 1,
            RetryDecision::GiveUp => 0,
        };
    }
    // A tenth of the requests, and the ten tokens at the start.
    assert!(
        hedges > 0 && (105..=110).contains(&(retries + hedges)),
        "{retries} {hedges}"
    );
    for class in [RequestClass::Upload, RequestClass::AtMostOnce] {
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
    run(&mut router, WARM, 500, [Refuse(ErrorKind::NoCapacity); 4]);
    let pressed = mean(&mut router, WARM + ms(5_000));
    let later = mean(&mut router, WARM + ms(60_000));
    assert!(
        calm < 1.6 && pressed > 4.0 && later < 1.6,
        "{calm} {pressed} {later}"
    );
}
