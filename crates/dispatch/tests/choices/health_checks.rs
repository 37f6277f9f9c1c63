//! Health checks of endpoints that were ejected.

use crate::support::{NOW, dispatcher, ms, record, request};
use mangospindle_dispatch::{Dispatcher, HealthReport, Outcome, Request};
use std::time::Duration;

fn order() -> Request<'static> {
    Request {
        idempotent: false,
        ..request()
    }
}

fn report(healthy: bool) -> HealthReport {
    HealthReport::Answered {
        healthy,
        cold_for: None,
    }
}

/// Sends an order, which fails.
fn fail_order(dispatcher: &mut Dispatcher, now: Duration) {
    let choice = dispatcher.choose(now, &order()).unwrap();
    dispatcher.record_outcome(now, choice.ticket, Outcome::TimedOut);
}

/// Guards against a service without idempotent requests that stays without endpoints after all of them
/// were ejected, and against orders that probe endpoints which may still be faulty.
#[test]
fn orders_are_sent_to_an_ejected_endpoint_after_a_health_check() {
    struct Case {
        name: &'static str,
        /// Result of the health check.
        passed: bool,
    }
    let cases = [
        Case {
            name: "passed",
            passed: true,
        },
        Case {
            name: "failed",
            passed: false,
        },
    ];
    for case in cases {
        let mut dispatcher = dispatcher(&[record(1, "a")]);
        fail_order(&mut dispatcher, NOW);
        let later = NOW + ms(600);
        assert!(dispatcher.take_health_checks(later).is_empty());
        assert!(dispatcher.choose(later, &order()).is_err());
        let checks = dispatcher.take_health_checks(later);
        assert_eq!(checks.len(), 1, "{}", case.name);
        assert_eq!(checks[0].path, "/health");
        assert!(dispatcher.choose(later, &order()).is_err());
        assert!(dispatcher.take_health_checks(later).is_empty());
        dispatcher.record_health_check(later, checks[0].endpoint, report(case.passed));
        let sent = dispatcher.choose(later, &order());
        assert_eq!(sent.is_ok(), case.passed, "{}", case.name);
        // Only one order at a time is sent as a probe.
        assert!(dispatcher.choose(later, &order()).is_err());
        if let Ok(choice) = sent {
            let outcome = Outcome::Answered {
                elapsed: ms(5),
                load: None,
            };
            dispatcher.record_outcome(later, choice.ticket, outcome);
            assert!(dispatcher.choose(later, &order()).is_ok());
            assert!(dispatcher.choose(later, &order()).is_ok());
        }
    }
}

/// Guards against a health check whose late result overrides the result of a request.
#[test]
fn late_health_checks_are_ignored() {
    let mut dispatcher = dispatcher(&[record(1, "a")]);
    fail_order(&mut dispatcher, NOW);
    let later = NOW + ms(600);
    assert!(dispatcher.choose(later, &order()).is_err());
    let checks = dispatcher.take_health_checks(later);
    let probe = dispatcher.choose(later, &request()).unwrap();
    dispatcher.record_outcome(later, probe.ticket, Outcome::TimedOut);
    dispatcher.record_health_check(later, checks[0].endpoint, report(true));
    let after_ejection = later + ms(5_000);
    assert!(dispatcher.choose(after_ejection, &order()).is_err());
}
