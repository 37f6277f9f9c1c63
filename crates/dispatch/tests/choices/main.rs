//! Choices of one entry.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod cold;
mod support;

use mangospindle_dispatch::{
    Choice, Dispatcher, LoadReading, Outcome, RefusalReason, Request, WeightedRoundRobin,
};
use mangospindle_fleet::{EndpointRecord, EndpointState};
use mangospindle_model::RouteTarget;
use std::collections::BTreeSet;
use std::time::Duration;
use support::{NOW, dispatcher, evacuate, ms, record, request};

/// The instances that get requests while all slots of two endpoints are filled.
fn chosen(dispatcher: &mut Dispatcher, now: Duration) -> BTreeSet<String> {
    let held = (0..6).filter_map(|_| dispatcher.choose(now, &request()).ok());
    let held: Vec<Choice> = held.collect();
    for choice in &held {
        dispatcher.record_outcome(now, choice.ticket, Outcome::Cancelled);
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
                d.record_outcome(NOW, choice.ticket, outcome);
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
        dispatcher.record_outcome(NOW, choice.ticket, Outcome::Cancelled);
    }
    dispatcher.update_endpoints(NOW, &[record(1, "a")]);
    let refusal = dispatcher
        .choose(NOW, &request)
        .expect_err("no endpoint at home");
    assert_eq!(refusal.reason, RefusalReason::NoEndpoint);
}

/// Guards against second sends without bound when a service fails, and against a budget that is
/// not shared with the other entries.
#[test]
fn second_sends_are_paid_from_a_budget() {
    let mut dispatcher = dispatcher(&[record(1, "a"), record(2, "b")]);
    let mut sends = (0, 0);
    for _ in 0..100 {
        let first = dispatcher.choose(NOW, &request()).expect("an endpoint");
        dispatcher.record_outcome(NOW, first.ticket, Outcome::Cancelled);
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
                dispatcher.record_outcome(NOW, choice.ticket, Outcome::Cancelled);
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
    dispatcher.record_outcome(NOW, first.ticket, outcome);
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
        dispatcher.record_outcome(now, choice.ticket, outcome);
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
    let mut share = WeightedRoundRobin::default();
    for _ in 0..5 {
        let mut counts = [0; 3];
        for _ in 0..20 {
            counts[share.next(&targets).expect("a target")] += 1;
        }
        assert_eq!(counts, [18, 2, 0]);
    }
}
