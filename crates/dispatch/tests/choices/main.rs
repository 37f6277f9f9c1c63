//! Tests of the dispatch decisions of one entry.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod cold;
mod health_checks;
mod late_answers;
mod lifetimes;
mod notices;
mod preferences;
mod priorities;
mod region_entries;
mod restart_reports;
mod restarts;
mod stops;
mod support;

use mangospindle_dispatch::{
    Choice, Dispatcher, LoadReading, Outcome, RefusalReason, Request, WeightedRoundRobin,
};
use mangospindle_fleet::{EndpointRecord, EndpointState};
use mangospindle_model::RouteTarget;
use std::collections::BTreeSet;
use std::time::Duration;
use support::{NOW, dispatcher, evacuate, ms, record, request};

/// Fills all slots of two endpoints and returns the instances that received a request.
fn chosen_instances(dispatcher: &mut Dispatcher, now: Duration) -> BTreeSet<String> {
    let choices = (0..6).filter_map(|_| dispatcher.choose(now, &request()).ok());
    let choices: Vec<Choice> = choices.collect();
    for choice in &choices {
        dispatcher.record_outcome(now, choice.ticket, Outcome::Cancelled);
    }
    choices.into_iter().map(|c| c.instance).collect()
}

/// Guards against requests to endpoints that must not receive any.
#[test]
fn only_eligible_endpoints_are_chosen() {
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
                let reassigned = choice.instance == "i-1";
                let outcome = match reassigned {
                    true => Outcome::Misdirected,
                    false => Outcome::Cancelled,
                };
                d.record_outcome(NOW, choice.ticket, outcome);
                if reassigned {
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
        assert_eq!(
            chosen_instances(&mut dispatcher, NOW),
            expected,
            "{}",
            case.name
        );
    }
}

/// Guards against requests that are sent outside their home regions.
#[test]
fn requests_stay_in_their_home_regions() {
    let regions = ["south".to_string()];
    let mut dispatcher = dispatcher(&[record(1, "a"), record(3, "c")]);
    let request = Request {
        home_regions: &regions,
        ..request()
    };
    for _ in 0..20 {
        let choice = dispatcher
            .choose(NOW, &request)
            .expect("an endpoint in the home region");
        assert_eq!(choice.instance, "i-3");
        dispatcher.record_outcome(NOW, choice.ticket, Outcome::Cancelled);
    }
    dispatcher.update_endpoints(NOW, &[record(1, "a")]);
    let refusal = dispatcher
        .choose(NOW, &request)
        .expect_err("no endpoint in the home region");
    assert_eq!(refusal.reason, RefusalReason::NoEndpoint);
}

/// Guards against unlimited retries and hedged requests when a service fails, and against a retry
/// budget that is not shared with the other entries.
#[test]
fn retries_are_limited_by_a_budget() {
    let mut dispatcher = dispatcher(&[record(1, "a"), record(2, "b")]);
    let mut sends = (0, 0);
    for _ in 0..100 {
        let first = dispatcher
            .choose(NOW, &request())
            .expect("an endpoint is usable");
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
    // Two regions, so this entry assumes that two entries share the budget. Half of it is used: a
    // slack of 12 * 0.5 / 2 and a ratio of 0.2 * 0.5.
    assert!(sends.1 <= 3 + 10, "{} retries", sends.1);
    assert!(sends.1 >= 10, "{} retries", sends.1);
}

/// Guards against sending requests that cannot be served in time, and against refusals without a
/// `Retry-After`.
#[test]
fn requests_to_full_endpoints_are_refused_early() {
    let mut dispatcher = dispatcher(&[record(1, "a")]);
    let first = dispatcher
        .choose(NOW, &request())
        .expect("the endpoint has free slots");
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
        .expect_err("the endpoint is full");
    assert_eq!(refusal.reason, RefusalReason::TooLate);
    assert!(refusal.retry_after > Duration::ZERO);
    assert!(refusal.retry_after <= ms(2_000) / 3);
    let choice = dispatcher.choose(NOW + ms(5_000), &request());
    choice.expect("the load report has expired");
}

/// Guards against sending requests to an endpoint that does not respond, and against using
/// non-idempotent requests to probe it.
#[test]
fn unresponsive_endpoints_are_ejected() {
    let mut dispatcher = dispatcher(&[record(1, "a"), record(2, "b")]);
    let mut fail = |now: Duration, outcome: Outcome| {
        let choice = dispatcher
            .choose(now, &request())
            .expect("an endpoint is usable");
        let unresponsive = choice.instance == "i-1";
        let outcome = if unresponsive {
            outcome
        } else {
            Outcome::Cancelled
        };
        dispatcher.record_outcome(now, choice.ticket, outcome);
        unresponsive
    };
    while !fail(NOW, Outcome::TimedOut) {}
    assert_eq!(chosen_instances(&mut dispatcher, NOW + ms(100)).len(), 1);
    // After the ejection, the endpoint receives one request at a time, and no non-idempotent ones.
    let later = NOW + ms(6_000);
    let non_idempotent = Request {
        idempotent: false,
        ..request()
    };
    let mut choices: Vec<Choice> = Vec::new();
    for _ in 0..4 {
        let choice = dispatcher
            .choose(later, &non_idempotent)
            .expect("the healthy endpoint is usable");
        assert_eq!(choice.instance, "i-2");
        choices.push(choice);
    }
    let probes = (0..6).filter_map(|_| dispatcher.choose(later, &request()).ok());
    let probes = probes.filter(|c| c.instance == "i-1").count();
    assert_eq!(probes, 1, "number of concurrent probes");
}

/// Guards against proportions that hold only on average over many requests.
#[test]
fn weights_hold_over_short_runs() {
    let target = |service: &str, weight| RouteTarget {
        service: service.to_string(),
        weight,
    };
    let targets = [target("a", 90), target("b", 10), target("c", 0)];
    let mut round_robin = WeightedRoundRobin::default();
    for _ in 0..5 {
        let mut counts = [0; 3];
        for _ in 0..20 {
            counts[round_robin.next(&targets).expect("a target has a weight")] += 1;
        }
        assert_eq!(counts, [18, 2, 0]);
    }
}

/// Guards against a load report whose numbers overflow when they are added, which ends a process that
/// checks for it and makes the endpoint seem idle in one that does not.
#[test]
fn extreme_load_reports_do_not_overflow() {
    let mut dispatcher = dispatcher(&[record(1, "a"), record(2, "a")]);
    let load = Some(LoadReading {
        running: u32::MAX,
        waiting: u32::MAX,
        slots: 3,
    });
    let first = dispatcher
        .choose(NOW, &request())
        .expect("the endpoints are idle");
    let reported = first.ticket.endpoint;
    let outcome = Outcome::Answered {
        elapsed: ms(100),
        load,
    };
    dispatcher.record_outcome(NOW, first.ticket, outcome);
    for _ in 0..3 {
        let choice = dispatcher
            .choose(NOW, &request())
            .expect("the other endpoint is idle");
        assert_ne!(choice.ticket.endpoint, reported);
    }
}
