//! Tests of which connections to endpoints are checked before their first request.

use crate::support::{NOW, dispatcher, ms, record, request};
use mangospindle_dispatch::{Dispatcher, EndpointKey, HealthReport, Outcome};
use std::time::Duration;

/// Until when the reports of other entries are complete.
const COMPLETE_UNTIL: Duration = ms(60_000);

fn key(dispatcher: &mut Dispatcher) -> EndpointKey {
    let choice = dispatcher.choose(NOW, &request()).unwrap();
    dispatcher.record_outcome(NOW, choice.ticket, Outcome::Cancelled);
    choice.ticket.endpoint
}

fn record_outcome(dispatcher: &mut Dispatcher, outcome: Outcome) {
    let choice = dispatcher.choose(NOW, &request()).unwrap();
    dispatcher.record_outcome(NOW, choice.ticket, outcome);
}

/// Reports the endpoint, sends a health check and records its result.
fn health_check(dispatcher: &mut Dispatcher, endpoint: EndpointKey, report: HealthReport) {
    dispatcher.record_restart_report(NOW, "i-1");
    record_outcome(dispatcher, Outcome::ClosedWhileIdle);
    // An endpoint that may have restarted is checked when it is chosen.
    let _ = dispatcher.choose(NOW, &request());
    assert_eq!(dispatcher.take_health_checks(NOW).len(), 1);
    dispatcher.record_health_check(NOW, endpoint, report);
}

/// Guards against requests that are sent without a check to a process that may be cold, because another entry
/// or this one lost a connection to it or because reports are lacking, and against checks that are not needed.
#[test]
fn connections_are_checked_if_the_endpoint_may_have_restarted() {
    struct Case {
        name: &'static str,
        /// Changes at [`NOW`].
        change: fn(&mut Dispatcher, EndpointKey),
        /// Time after the changes, and whether a check is required then.
        expected: &'static [(u64, bool)],
    }
    let cases = [
        Case {
            name: "no report",
            change: |_, _| {},
            expected: &[(0, false), (30_000, false)],
        },
        Case {
            name: "a report",
            change: |d, _| d.record_restart_report(NOW, "i-1"),
            expected: &[(0, true), (30_000, true)],
        },
        Case {
            name: "a report of another endpoint",
            change: |d, _| d.record_restart_report(NOW, "i-2"),
            expected: &[(0, false)],
        },
        Case {
            name: "a report of an endpoint that is not listed",
            change: |d, _| d.record_restart_report(NOW, "i-9"),
            expected: &[(0, false)],
        },
        Case {
            name: "reports that are complete for a while",
            change: |d, _| d.record_reports_complete(NOW + ms(1_000)),
            expected: &[(0, false), (999, false), (1_000, true)],
        },
        Case {
            name: "reports that never were complete",
            change: |d, _| d.record_reports_complete(Duration::ZERO),
            expected: &[(0, true)],
        },
        Case {
            name: "a response of a warm process to what was sent after a report",
            change: |d, e| {
                d.record_restart_report(NOW, "i-1");
                d.record_warm_response(NOW + ms(1), e);
            },
            expected: &[(0, false), (30_000, false)],
        },
        Case {
            name: "a response of a warm process to what was sent before a report",
            change: |d, e| {
                d.record_restart_report(NOW, "i-1");
                d.record_warm_response(NOW - ms(1), e);
            },
            expected: &[(0, true), (30_000, true)],
        },
        Case {
            name: "a response of a warm process while reports are lacking",
            change: |d, e| {
                d.record_reports_complete(Duration::ZERO);
                d.record_warm_response(NOW, e);
            },
            expected: &[(0, true)],
        },
        Case {
            name: "a report after a response of a warm process",
            change: |d, e| {
                d.record_warm_response(NOW, e);
                d.record_restart_report(NOW, "i-1");
            },
            expected: &[(0, true), (250, true)],
        },
        Case {
            name: "a passed connection check that began after a report",
            change: |d, e| {
                d.record_restart_report(NOW - ms(1), "i-1");
                assert!(d.record_connection_check(NOW, e, NOW, Some(Duration::ZERO)));
            },
            expected: &[(0, false), (250, false)],
        },
        Case {
            name: "a passed connection check that began before a report",
            change: |d, e| {
                d.record_restart_report(NOW, "i-1");
                assert!(d.record_connection_check(NOW, e, NOW - ms(1), Some(Duration::ZERO)));
            },
            expected: &[(0, true), (250, true)],
        },
        Case {
            name: "a passed connection check while reports are lacking",
            change: |d, e| {
                d.record_reports_complete(Duration::ZERO);
                assert!(d.record_connection_check(NOW, e, NOW, Some(Duration::ZERO)));
            },
            expected: &[(0, true)],
        },
        Case {
            name: "a health check that tells the cold time",
            change: |d, e| {
                let report = HealthReport::Answered {
                    healthy: true,
                    cold_for: Some(ms(2_000)),
                };
                health_check(d, e, report);
            },
            expected: &[(0, false)],
        },
        Case {
            name: "a rejected health check",
            change: |d, e| health_check(d, e, HealthReport::Rejected { load: None }),
            expected: &[(0, true)],
        },
        Case {
            name: "a health check without a response",
            change: |d, e| health_check(d, e, HealthReport::Unanswered),
            expected: &[(0, true)],
        },
        Case {
            name: "a connection that was closed while idle",
            change: |d, _| record_outcome(d, Outcome::ClosedWhileIdle),
            expected: &[(0, true), (30_000, true)],
        },
        Case {
            name: "a connection that was lost",
            change: |d, _| record_outcome(d, Outcome::Disconnected),
            expected: &[(0, true)],
        },
        Case {
            name: "a connection that could not be opened",
            change: |d, _| record_outcome(d, Outcome::Unreachable),
            expected: &[(0, true)],
        },
        Case {
            name: "a check without a response",
            change: |d, _| record_outcome(d, Outcome::CheckTimedOut),
            expected: &[(0, true)],
        },
        Case {
            name: "a check that was rejected",
            change: |d, _| record_outcome(d, Outcome::CheckRejected { load: None }),
            expected: &[(0, false)],
        },
        Case {
            name: "an idle connection that was closed early",
            change: |d, e| d.record_idle_close(NOW, e),
            expected: &[(0, true)],
        },
        Case {
            name: "a lost connection after a response of a warm process",
            change: |d, e| {
                d.record_warm_response(NOW, e);
                record_outcome(d, Outcome::Disconnected);
            },
            expected: &[(0, true)],
        },
        Case {
            name: "an answer on a connection of unknown state after a report",
            change: |d, _| {
                d.record_restart_report(NOW, "i-1");
                let outcome = Outcome::Answered {
                    elapsed: ms(5),
                    load: None,
                };
                record_outcome(d, outcome);
            },
            expected: &[(0, true)],
        },
        Case {
            name: "an endpoint that is no longer listed",
            change: |d, _| d.update_endpoints(NOW, &[]),
            expected: &[(0, true)],
        },
    ];
    for case in cases {
        let mut dispatcher = dispatcher(&[record(1, "a")]);
        dispatcher.record_reports_complete(COMPLETE_UNTIL);
        let endpoint = key(&mut dispatcher);
        (case.change)(&mut dispatcher, endpoint);
        for (after, expected) in case.expected {
            let required = dispatcher.requires_check(NOW + ms(*after), endpoint);
            assert_eq!(required, *expected, "{} after {after} ms", case.name);
        }
    }
}

/// Guards against a cold endpoint that gets the full load although a check has told that it is cold, and
/// against a warm one that stays limited after a check.
#[test]
fn connection_checks_decide_whether_an_endpoint_is_limited() {
    struct Case {
        name: &'static str,
        before: Option<Outcome>,
        cold_for: Option<Duration>,
        warm: bool,
    }
    let cases = [
        Case {
            name: "cold",
            before: None,
            cold_for: Some(ms(2_500)),
            warm: false,
        },
        Case {
            name: "not cold",
            before: None,
            cold_for: Some(Duration::ZERO),
            warm: true,
        },
        Case {
            name: "tells a malformed cold time",
            before: None,
            cold_for: Some(Duration::from_secs(30 * 86_400)),
            warm: true,
        },
        Case {
            name: "says nothing of a cold start",
            before: None,
            cold_for: None,
            warm: true,
        },
        Case {
            name: "cold after a lost connection",
            before: Some(Outcome::Disconnected),
            cold_for: Some(ms(2_500)),
            warm: false,
        },
        Case {
            name: "not cold after a lost connection",
            before: Some(Outcome::Disconnected),
            cold_for: Some(Duration::ZERO),
            warm: true,
        },
        Case {
            name: "says nothing of a cold start after it was unreachable",
            before: Some(Outcome::Unreachable),
            cold_for: None,
            warm: false,
        },
        Case {
            name: "not cold after it was unreachable",
            before: Some(Outcome::Unreachable),
            cold_for: Some(Duration::ZERO),
            warm: true,
        },
    ];
    for case in cases {
        let mut dispatcher = dispatcher(&[record(1, "a")]);
        dispatcher.update_region_entries(NOW, 100);
        dispatcher.record_reports_complete(COMPLETE_UNTIL);
        let endpoint = key(&mut dispatcher);
        dispatcher.record_restart_report(NOW, "i-1");
        if let Some(outcome) = case.before {
            record_outcome(&mut dispatcher, outcome);
        }
        let checked = NOW + ms(100);
        let warm = dispatcher.record_connection_check(checked, endpoint, checked, case.cold_for);
        assert_eq!(warm, case.warm, "{}", case.name);
        let sent = (0..10).filter_map(|n| {
            let at = checked + ms(n);
            let choice = dispatcher.choose(at, &request()).ok()?;
            dispatcher.record_outcome(at, choice.ticket, Outcome::Cancelled);
            Some(choice.cold)
        });
        let sent: Vec<bool> = sent.collect();
        match case.warm {
            true => assert_eq!(sent, [false; 10], "{}", case.name),
            // The rate limit counts each of them, and no entry sends more than its share.
            false => assert!(
                sent.len() <= 1 && sent.iter().all(|cold| *cold),
                "{}: {sent:?}",
                case.name
            ),
        }
    }
}

/// Guards against a check for an endpoint that has left the list.
#[test]
fn endpoints_that_are_not_listed_are_not_checked() {
    let mut dispatcher = dispatcher(&[record(1, "a")]);
    let endpoint = key(&mut dispatcher);
    let check = dispatcher.connection_check(endpoint).unwrap();
    assert_eq!(check.endpoint, endpoint);
    assert_eq!(check.instance, "i-1");
    assert_eq!(check.path, "/health");
    dispatcher.update_endpoints(NOW, &[]);
    assert!(dispatcher.connection_check(endpoint).is_none());
    assert!(!dispatcher.record_connection_check(NOW, endpoint, NOW, None));
}

/// Guards against a warm endpoint that stays limited although a request on another connection shows that it
/// did not restart.
#[test]
fn responses_of_warm_processes_lift_the_limit_after_a_lost_connection() {
    for lost in [Outcome::Disconnected, Outcome::ClosedWhileIdle] {
        let mut dispatcher = dispatcher(&[record(1, "a")]);
        dispatcher.update_region_entries(NOW, 100);
        let endpoint = key(&mut dispatcher);
        record_outcome(&mut dispatcher, lost);
        let limited = dispatcher.choose(NOW, &request()).is_err();
        assert!(limited, "{lost:?}");
        dispatcher.record_warm_response(NOW, endpoint);
        let limited = dispatcher.choose(NOW, &request()).is_err();
        assert!(limited, "{lost:?}, response to what was sent before");
        dispatcher.record_warm_response(NOW + ms(1), endpoint);
        for _ in 0..3 {
            let choice = dispatcher.choose(NOW, &request()).unwrap();
            assert!(!choice.cold, "{lost:?}");
        }
    }
}

/// Guards against an entry that floods an endpoint over new connections after a restart that nobody has noticed.
#[test]
fn unchecked_requests_on_new_connections_are_limited() {
    struct Case {
        name: &'static str,
        complete_until: Duration,
        is_reported: bool,
        allowed: usize,
    }
    let cases = [
        Case {
            name: "no report",
            complete_until: COMPLETE_UNTIL,
            is_reported: false,
            allowed: 5,
        },
        Case {
            name: "reported",
            complete_until: COMPLETE_UNTIL,
            is_reported: true,
            allowed: 0,
        },
        Case {
            name: "reports are lacking",
            complete_until: Duration::ZERO,
            is_reported: false,
            allowed: 0,
        },
    ];
    for case in cases {
        let mut dispatcher = dispatcher(&[record(1, "a")]);
        dispatcher.record_reports_complete(case.complete_until);
        let endpoint = key(&mut dispatcher);
        if case.is_reported {
            dispatcher.record_restart_report(NOW, "i-1");
        }
        let sends =
            (0..500).filter(|n| dispatcher.allow_unchecked_send(NOW + ms(10 * n), endpoint));
        assert_eq!(sends.count(), case.allowed, "{}", case.name);
    }
}
