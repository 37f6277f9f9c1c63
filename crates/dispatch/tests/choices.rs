//! Choices of one entry.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use mangospindle_dispatch::{
    Choice, DispatchSettings, Dispatcher, LoadReading, Outcome, RefusalReason, Request, TargetShare,
};
use mangospindle_fleet::{EndpointRecord, EndpointState};
use mangospindle_model::{EndpointService, RouteTable, RouteTarget};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

const NOW: Duration = ms(1_000);

fn record(n: u8, domain: &str) -> EndpointRecord {
    EndpointRecord {
        instance: format!("i-{n}"),
        service: "s".to_string(),
        address: ([10, 0, 0, n], 80).into(),
        failure_domain: domain.to_string(),
        slots: 3,
        state: EndpointState::Ready,
        cold_for: Duration::ZERO,
    }
}

fn dispatcher(records: &[EndpointRecord]) -> Dispatcher {
    seeded(records, 1)
}

fn seeded(records: &[EndpointRecord], seed: u64) -> Dispatcher {
    let pairs = [("a", "north"), ("b", "north"), ("c", "south")];
    let settings = DispatchSettings {
        failure_domain: "a".to_string(),
        regions: pairs.map(|(d, r)| (d.to_string(), r.to_string())).into(),
        retry_ratio: 0.2,
        retry_slack: 12.0,
    };
    let mut dispatcher = Dispatcher::new(settings, seed);
    evacuate(&mut dispatcher, NOW, &[]);
    dispatcher.update_endpoints(NOW, records);
    dispatcher
}

fn evacuate(dispatcher: &mut Dispatcher, now: Duration, domains: &[&str]) {
    let service = EndpointService {
        health_path: "/health".to_string(),
        max_connections: 330,
        cold_start: ms(3_000),
        cold_rate: 5.0,
    };
    let table = RouteTable {
        number: 1,
        services: BTreeMap::from([("s".to_string(), service)]),
        ..RouteTable::default()
    };
    let domains: BTreeSet<String> = domains.iter().map(|d| d.to_string()).collect();
    dispatcher.update_routes(now, Arc::new(table), domains);
}

fn request() -> Request<'static> {
    Request {
        service: "s",
        affinity: None,
        idempotent: true,
        priority: 0,
        time_left: ms(2_000),
        target_latency: ms(1_000),
        home_regions: &[],
        tried: &[],
        repeated: false,
    }
}

/// The instances that get requests while all slots of two endpoints are filled.
fn chosen(dispatcher: &mut Dispatcher, now: Duration) -> BTreeSet<String> {
    let held = (0..6).filter_map(|_| dispatcher.choose(now, &request()).ok());
    let held: Vec<Choice> = held.collect();
    for choice in &held {
        dispatcher.finished(now, choice.ticket, Outcome::Cancelled);
    }
    held.into_iter().map(|c| c.instance).collect()
}

/// Guards against requests to endpoints that must get none.
#[test]
fn only_allowed_endpoints_are_chosen() {
    struct Case {
        name: &'static str,
        change: fn(&mut Dispatcher, &mut Vec<EndpointRecord>),
        expected: &'static [&'static str],
    }
    let cases = [
        Case {
            name: "a draining endpoint",
            change: |_, list| list[0].state = EndpointState::Draining,
            expected: &["i-2"],
        },
        Case {
            name: "an endpoint that is no longer listed",
            change: |_, list| {
                list.remove(0);
            },
            expected: &["i-2"],
        },
        Case {
            name: "an evacuated failure domain",
            change: |d, _| evacuate(d, NOW, &["a"]),
            expected: &["i-2"],
        },
        Case {
            name: "an address that another endpoint has",
            change: |d, _| loop {
                let choice = d.choose(NOW, &request()).unwrap();
                let own = choice.instance == "i-1";
                let outcome = match own {
                    true => Outcome::Misdirected,
                    false => Outcome::Cancelled,
                };
                d.finished(NOW, choice.ticket, outcome);
                if own {
                    return;
                }
            },
            expected: &["i-2"],
        },
        Case {
            name: "an endpoint under a new instance at the same address",
            change: |_, list| list[0].instance = "i-9".to_string(),
            expected: &["i-2", "i-9"],
        },
    ];
    for case in cases {
        let mut list = vec![record(1, "a"), record(2, "b")];
        let mut dispatcher = dispatcher(&list);
        (case.change)(&mut dispatcher, &mut list);
        dispatcher.update_endpoints(NOW, &list);
        let expected: BTreeSet<String> = case.expected.iter().map(|i| i.to_string()).collect();
        assert_eq!(chosen(&mut dispatcher, NOW), expected, "{}", case.name);
    }
}

/// Guards against requests that leave their home regions.
#[test]
fn homes_bind() {
    let homes = ["south".to_string()];
    let mut dispatcher = dispatcher(&[record(1, "a"), record(3, "c")]);
    let request = Request {
        home_regions: &homes,
        ..request()
    };
    for _ in 0..20 {
        let choice = dispatcher
            .choose(NOW, &request)
            .expect("an endpoint at home");
        assert_eq!(choice.instance, "i-3");
        dispatcher.finished(NOW, choice.ticket, Outcome::Cancelled);
    }
    dispatcher.update_endpoints(NOW, &[record(1, "a")]);
    let refusal = dispatcher
        .choose(NOW, &request)
        .expect_err("no endpoint at home");
    assert_eq!(refusal.reason, RefusalReason::NoEndpoint);
}

/// Guards against a cold endpoint that gets more than its rate from the entries of its region
/// together, and anything at all from those of other regions.
#[test]
fn cold_endpoints_get_little() {
    struct Case {
        name: &'static str,
        domain: &'static str,
        entries: u32,
        /// Most requests of this entry in 10 s.
        most: usize,
    }
    let cases = [
        Case {
            name: "single entry",
            domain: "a",
            entries: 1,
            most: 51,
        },
        Case {
            name: "one of three",
            domain: "b",
            entries: 3,
            most: 18,
        },
        Case {
            name: "another region",
            domain: "c",
            entries: 3,
            most: 0,
        },
    ];
    for case in cases {
        let cold = EndpointRecord {
            cold_for: ms(60_000),
            ..record(1, case.domain)
        };
        let mut dispatcher = dispatcher(&[cold]);
        dispatcher.update_entries(NOW, case.entries);
        let mut sent = 0;
        for step in 0..1_000 {
            let now = NOW + ms(10 * step);
            if let Ok(choice) = dispatcher.choose(now, &request()) {
                sent += 1;
                dispatcher.finished(now, choice.ticket, Outcome::Cancelled);
            }
        }
        assert!(sent <= case.most, "{}: {sent}", case.name);
        assert!(
            sent > 0 || case.most == 0,
            "{}: no request at all",
            case.name
        );
    }
}

/// Guards against endpoints that count as warm right after an evacuation, at whose end they may have
/// started.
#[test]
fn endpoints_are_cold_after_an_evacuation() {
    let mut dispatcher = dispatcher(&[record(1, "b")]);
    dispatcher.update_entries(NOW, 3);
    evacuate(&mut dispatcher, NOW, &["b"]);
    evacuate(&mut dispatcher, NOW + ms(8_000), &[]);
    let (now, later) = (NOW + ms(8_100), NOW + ms(16_000));
    let count = |d: &mut Dispatcher, at: Duration| {
        let sent = (0..100).filter_map(|_| d.choose(at, &request()).ok());
        sent.count()
    };
    assert!(count(&mut dispatcher, now) <= 1, "cold at first");
    assert!(count(&mut dispatcher, later) > 3, "warm later");
}

/// Guards against second sends without bound when a service fails, and against a budget that is
/// not shared with the other entries.
#[test]
fn second_sends_are_paid_from_a_budget() {
    let mut dispatcher = dispatcher(&[record(1, "a"), record(2, "b")]);
    let mut sends = (0, 0);
    for _ in 0..100 {
        let first = dispatcher.choose(NOW, &request()).expect("an endpoint");
        dispatcher.finished(NOW, first.ticket, Outcome::Cancelled);
        sends.0 += 1;
        let tried = [first.ticket.endpoint];
        let second = Request {
            tried: &tried,
            repeated: true,
            ..request()
        };
        match dispatcher.choose(NOW, &second) {
            Ok(choice) => {
                assert_ne!(choice.instance, first.instance);
                dispatcher.finished(NOW, choice.ticket, Outcome::Cancelled);
                sends.1 += 1;
            }
            Err(refusal) => assert_eq!(refusal.reason, RefusalReason::NoRetryBudget),
        }
    }
    // Two regions: this entry counts on one more. Half of the slack of 12, and half of the ratio.
    assert!(sends.1 <= 3 + 10, "{} second sends", sends.1);
    assert!(sends.1 >= 10, "{} second sends", sends.1);
}

/// Guards against sending what cannot be answered in time, and against refusals without a time to
/// come back.
#[test]
fn full_endpoints_refuse_early() {
    let mut dispatcher = dispatcher(&[record(1, "a")]);
    let first = dispatcher.choose(NOW, &request()).expect("a free endpoint");
    let load = Some(LoadReading {
        running: 3,
        waiting: 9,
        slots: 3,
    });
    let outcome = Outcome::Answered {
        elapsed: ms(300),
        load,
    };
    dispatcher.finished(NOW, first.ticket, outcome);
    let refusal = dispatcher
        .choose(NOW, &request())
        .expect_err("a full endpoint");
    assert_eq!(refusal.reason, RefusalReason::TooLate);
    assert!(refusal.retry_after > Duration::ZERO);
    assert!(refusal.retry_after <= ms(2_000) / 3);
    let choice = dispatcher.choose(NOW + ms(5_000), &request());
    choice.expect("the report is old");
}

/// Guards against endpoints that keep getting requests while they do not answer, and against
/// requests that may run only once being used to find out whether one is back.
#[test]
fn silent_endpoints_are_left_out() {
    let mut dispatcher = dispatcher(&[record(1, "a"), record(2, "b")]);
    let mut fail = |now: Duration, outcome: Outcome| {
        let choice = dispatcher.choose(now, &request()).expect("an endpoint");
        let silent = choice.instance == "i-1";
        let outcome = if silent { outcome } else { Outcome::Cancelled };
        dispatcher.finished(now, choice.ticket, outcome);
        silent
    };
    while !fail(NOW, Outcome::TimedOut) {}
    assert_eq!(chosen(&mut dispatcher, NOW + ms(100)).len(), 1);
    // After the ejection: one request at a time, and none that may run only once.
    let later = NOW + ms(6_000);
    let once = Request {
        idempotent: false,
        ..request()
    };
    let mut held: Vec<Choice> = Vec::new();
    for _ in 0..4 {
        let choice = dispatcher.choose(later, &once).expect("the sound endpoint");
        assert_eq!(choice.instance, "i-2");
        held.push(choice);
    }
    let trials = (0..6).filter_map(|_| dispatcher.choose(later, &request()).ok());
    let trials = trials.filter(|c| c.instance == "i-1").count();
    assert_eq!(trials, 1, "one trial at a time");
}

/// Guards against shares that only hold on average over a long time.
#[test]
fn weights_hold_over_short_spans() {
    let target = |service: &str, weight| RouteTarget {
        service: service.to_string(),
        weight,
    };
    let targets = [target("a", 90), target("b", 10), target("c", 0)];
    let mut share = TargetShare::default();
    for _ in 0..5 {
        let mut counts = [0; 3];
        for _ in 0..20 {
            counts[share.next(&targets).expect("a target")] += 1;
        }
        assert_eq!(counts, [18, 2, 0]);
    }
}

/// Guards against full load on an endpoint that was down and is back, as long as the list does not
/// say that it is cold.
#[test]
fn endpoints_that_were_unreachable_are_cold_when_they_answer() {
    let mut dispatcher = dispatcher(&[record(1, "a")]);
    dispatcher.update_entries(NOW, 3);
    for n in 0..2 {
        let choice = dispatcher
            .choose(NOW + ms(n), &request())
            .expect("an endpoint");
        dispatcher.finished(NOW + ms(n), choice.ticket, Outcome::Unreachable);
    }
    // Long after the last failure the endpoint answers for the first time.
    let back = NOW + ms(9_000);
    let choice = dispatcher.choose(back, &request()).expect("a trial");
    let outcome = Outcome::Answered {
        elapsed: ms(100),
        load: None,
    };
    dispatcher.finished(back, choice.ticket, outcome);
    let sent = (0..100).filter(|n| {
        let now = back + ms(10 * n);
        let choice = dispatcher.choose(now, &request());
        choice.is_ok_and(|c| {
            dispatcher.finished(now, c.ticket, Outcome::Cancelled);
            true
        })
    });
    // A third of 5 a second, and one at the start.
    assert!(sent.count() <= 3, "too much for a cold endpoint");
}

/// Guards against a higher rate at cold endpoints while entries are cut off from the control
/// replicas: they are not counted then, but send requests all the same.
#[test]
fn entries_that_are_cut_off_still_count() {
    let cold = EndpointRecord {
        cold_for: ms(60_000),
        ..record(1, "a")
    };
    let mut dispatcher = dispatcher(&[cold]);
    dispatcher.update_entries(NOW, 28);
    let sent = (0..1_500).filter(|n| {
        let now = NOW + ms(10 * n);
        dispatcher.update_entries(now, 2);
        let choice = dispatcher.choose(now, &request());
        choice.is_ok_and(|c| {
            dispatcher.finished(now, c.ticket, Outcome::Cancelled);
            true
        })
    });
    // 15 s at a 28th of 5 a second, and one at the start.
    assert!(sent.count() <= 4, "more than this entry's part");
}

/// Guards against entries that all find an endpoint warm at the same moment and send it a request
/// each, while it may still be cold.
#[test]
fn entries_find_an_endpoint_warm_one_after_the_other() {
    const ENTRIES: u64 = 28;
    let cold = EndpointRecord {
        cold_for: ms(3_000),
        ..record(1, "a")
    };
    let end = NOW + ms(3_000);
    let mut entries: Vec<Dispatcher> = (0..ENTRIES)
        .map(|seed| {
            let mut dispatcher = seeded(std::slice::from_ref(&cold), seed);
            dispatcher.update_entries(NOW, ENTRIES as u32);
            dispatcher
        })
        .collect();
    let mut sends = |from: Duration, to: Duration| {
        let mut count = 0;
        let mut now = from;
        while now < to {
            for entry in &mut entries {
                if let Ok(choice) = entry.choose(now, &request()) {
                    entry.finished(now, choice.ticket, Outcome::Cancelled);
                    count += 1;
                }
            }
            now += ms(200);
        }
        count
    };
    // A rate of 5 a second with half of it and a slack of 5 more.
    let bound = 12;
    assert!(
        sends(end - ms(100), end + ms(900)) <= bound,
        "at the end of the cold start"
    );
    let first = sends(end + ms(1_100), end + ms(1_300));
    assert!(first < ENTRIES / 2, "{first} entries at once");
    assert_eq!(
        sends(end + ms(2_600), end + ms(2_800)),
        ENTRIES,
        "all in the end"
    );
}
