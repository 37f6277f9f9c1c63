//! Tests of endpoints that may have restarted, so that they may be cold.

use crate::support::{NOW, dispatcher, dispatcher_with_seed, ms, record, request};
use mangospindle_dispatch::{Dispatcher, HealthReport, Outcome};
use std::time::Duration;

/// Guards against all entries probing an endpoint in the first second after it restarted, before any
/// of them knows that it is cold.
#[test]
fn restarted_endpoints_are_probed_within_their_rate_limit() {
    const ENTRIES: u64 = 28;
    const OUTAGE: Duration = ms(1_000);
    const REQUEST_INTERVAL_MS: u64 = 100;
    let mut entries: Vec<Dispatcher> = (0..ENTRIES)
        .map(|seed| {
            let mut dispatcher = dispatcher_with_seed(&[record(1, "a")], seed);
            dispatcher.update_region_entries(NOW, ENTRIES as u32);
            dispatcher
        })
        .collect();
    let restart = NOW + OUTAGE;
    let mut arrivals = Vec::new();
    for n in 0..400 {
        let now = NOW + ms(10 * n);
        for (k, entry) in entries.iter_mut().enumerate() {
            let has_request = (10 * n + 37 * k as u64) % REQUEST_INTERVAL_MS < 10;
            let choice = has_request.then(|| entry.choose(now, &request()));
            let Some(Ok(choice)) = choice else {
                continue;
            };
            let outcome = match now < restart {
                true => Outcome::Unreachable,
                false => {
                    arrivals.push(now);
                    Outcome::Answered {
                        elapsed: ms(5),
                        load: None,
                    }
                }
            };
            entry.record_outcome(now, choice.ticket, outcome);
        }
    }
    let in_second = |start: Duration| {
        let end = start + ms(1_000);
        arrivals
            .iter()
            .filter(|at| (start..end).contains(at))
            .count()
    };
    let most = arrivals.iter().map(|start| in_second(*start)).max();
    // 5 requests per second, with a tolerance of half of that and 5 more.
    assert!(most.unwrap_or(0) <= 12, "{most:?} requests in one second");
}

/// Guards against an endpoint that restarted unnoticed between two requests and gets the full load
/// while it is cold, and against one that only lost its connections and is treated as cold.
#[test]
fn endpoints_that_lost_their_connections_are_limited_until_a_health_check() {
    struct Case {
        name: &'static str,
        outcome: Outcome,
        report: HealthReport,
        /// Whether the endpoint gets the full load after the health check.
        warm: bool,
    }
    let answered = |cold_for: Option<Duration>| HealthReport::Answered {
        healthy: true,
        cold_for,
    };
    let cases = [
        Case {
            name: "closed while idle, cold",
            outcome: Outcome::ClosedWhileIdle,
            report: answered(Some(ms(2_500))),
            warm: false,
        },
        Case {
            name: "closed while idle, not cold",
            outcome: Outcome::ClosedWhileIdle,
            report: answered(Some(ms(0))),
            warm: true,
        },
        Case {
            name: "disconnected, cold",
            outcome: Outcome::Disconnected,
            report: answered(Some(ms(2_500))),
            warm: false,
        },
        Case {
            name: "disconnected, says nothing of a cold start",
            outcome: Outcome::Disconnected,
            report: answered(None),
            warm: true,
        },
        Case {
            name: "disconnected, not cold, says that it is not healthy",
            outcome: Outcome::Disconnected,
            report: HealthReport::Answered {
                healthy: false,
                cold_for: Some(ms(0)),
            },
            warm: true,
        },
        Case {
            name: "closed while idle, has no room for the check",
            outcome: Outcome::ClosedWhileIdle,
            report: HealthReport::Rejected { load: None },
            warm: false,
        },
        Case {
            name: "unreachable, not cold",
            outcome: Outcome::Unreachable,
            report: answered(Some(ms(0))),
            warm: true,
        },
        Case {
            name: "unreachable, says nothing of a cold start",
            outcome: Outcome::Unreachable,
            report: answered(None),
            warm: false,
        },
    ];
    for case in cases {
        let mut dispatcher = dispatcher(&[record(1, "a")]);
        dispatcher.update_region_entries(NOW, 100);
        for n in 0..2 {
            if let Ok(choice) = dispatcher.choose(NOW + ms(n), &request()) {
                dispatcher.record_outcome(NOW + ms(n), choice.ticket, case.outcome);
            }
        }
        let after_ejection = NOW + ms(600);
        let sent = |from: Duration, dispatcher: &mut Dispatcher| {
            let sent = (0..10).filter_map(|n| {
                let choice = dispatcher.choose(from + ms(n), &request()).ok()?;
                dispatcher.record_outcome(from + ms(n), choice.ticket, Outcome::Cancelled);
                Some(())
            });
            sent.count()
        };
        let before = sent(after_ejection, &mut dispatcher);
        assert!(before <= 1, "{}: {before} before", case.name);
        let checks = dispatcher.take_health_checks(after_ejection + ms(20));
        assert_eq!(checks.len(), 1, "{}", case.name);
        let checked = after_ejection + ms(40);
        dispatcher.record_health_check(checked, checks[0].endpoint, case.report);
        let after = sent(checked + ms(20), &mut dispatcher);
        assert_eq!(after > 1, case.warm, "{}: {after} after", case.name);
    }
}

/// Guards against entries of other regions that send to an endpoint which may be cold.
#[test]
fn entries_of_other_regions_wait_for_the_health_check() {
    let mut dispatcher = dispatcher(&[record(1, "c")]);
    let choice = dispatcher.choose(NOW, &request()).unwrap();
    dispatcher.record_outcome(NOW, choice.ticket, Outcome::ClosedWhileIdle);
    let later = NOW + ms(20_000);
    assert!(dispatcher.choose(later, &request()).is_err());
    let checks = dispatcher.take_health_checks(later);
    let report = HealthReport::Answered {
        healthy: true,
        cold_for: Some(Duration::ZERO),
    };
    dispatcher.record_health_check(later, checks[0].endpoint, report);
    assert!(dispatcher.choose(later, &request()).is_ok());
}

/// Guards against an entry that checks every endpoint before it uses it again after the loss of its own
/// paths, and against one that forgets a restart from before the loss.
#[test]
fn lost_connections_are_no_sign_of_a_restart_while_the_paths_were_lost() {
    struct Case {
        name: &'static str,
        /// When the connection was lost, relative to the notice of the loss of the paths.
        before_loss: Duration,
        /// Whether the endpoint is used at once when the paths are back.
        used: bool,
    }
    let cases = [
        Case {
            name: "with the paths",
            before_loss: ms(700),
            used: true,
        },
        Case {
            name: "long before",
            before_loss: ms(5_000),
            used: false,
        },
    ];
    let lost_at = NOW + ms(10_000);
    let restored_at = lost_at + ms(6_000);
    for case in cases {
        let mut dispatcher = dispatcher(&[record(1, "c")]);
        let lost = lost_at - case.before_loss;
        let choice = dispatcher.choose(lost, &request()).unwrap();
        dispatcher.record_outcome(lost, choice.ticket, Outcome::Disconnected);
        dispatcher.record_paths_restored(lost_at);
        let used = dispatcher.choose(restored_at, &request()).is_ok();
        assert_eq!(used, case.used, "{}", case.name);
    }
}
