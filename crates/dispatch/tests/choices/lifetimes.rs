//! Tests of endpoints that start again under their instance identifier and address.

use crate::support::{NOW, dispatcher, evacuate, ms, record, request};
use mangospindle_dispatch::{Dispatcher, EndpointNotices, HealthReport, Outcome};
use mangospindle_fleet::{EndpointRecord, EndpointState};
use std::time::Duration;

const ANSWERED: Outcome = Outcome::Answered {
    elapsed: ms(5),
    load: None,
};

/// Sends a request if the dispatcher allows one.
fn send(entry: &mut Dispatcher, now: Duration, notices: EndpointNotices, outcome: Outcome) -> bool {
    let Ok(choice) = entry.choose(now, &request()) else {
        return false;
    };
    entry.record_notices(now, choice.ticket.endpoint, notices);
    entry.record_outcome(now, choice.ticket, outcome);
    true
}

/// Whether a request is sent at `now` or within the next second.
fn is_used(entry: &mut Dispatcher, now: Duration) -> bool {
    (0..100).any(|n| {
        send(
            entry,
            now + ms(10 * n),
            EndpointNotices::default(),
            ANSWERED,
        )
    })
}

fn listed(entry: &mut Dispatcher, now: Duration, state: EndpointState, cold_for: Duration) {
    let endpoint = EndpointRecord {
        state,
        cold_for,
        ..record(1, "a")
    };
    entry.update_endpoints(now, &[endpoint]);
}

/// Guards against requests to a leaving endpoint that was taken for one that has started again, and
/// against one that has started again and stays unused.
#[test]
fn only_the_list_shows_that_a_leaving_endpoint_has_started_again() {
    struct Case {
        name: &'static str,
        before: fn(&mut Dispatcher),
        /// What happens after the endpoint has said that it leaves.
        after: fn(&mut Dispatcher),
        used: bool,
    }
    let nothing: fn(&mut Dispatcher) = |_| {};
    let cases = [
        Case {
            name: "an answer after a refused connection",
            before: |entry| {
                let notices = EndpointNotices::default();
                assert!(send(entry, NOW, notices, Outcome::Unreachable));
            },
            after: nothing,
            used: false,
        },
        Case {
            name: "end of an evacuation",
            before: nothing,
            after: |entry| {
                evacuate(entry, NOW + ms(500), &["a"]);
                evacuate(entry, NOW + ms(1_500), &[]);
            },
            used: false,
        },
        Case {
            name: "list reports the end of a cold start",
            before: nothing,
            after: |entry| listed(entry, NOW + ms(1_000), EndpointState::Ready, ms(1)),
            used: false,
        },
        Case {
            name: "list reports the cold start of the present lifetime",
            before: nothing,
            after: |entry| listed(entry, NOW + ms(1_000), EndpointState::Ready, ms(2_800)),
            used: false,
        },
        Case {
            name: "list reports a later cold start",
            before: nothing,
            after: |entry| listed(entry, NOW + ms(6_000), EndpointState::Ready, ms(2_000)),
            used: true,
        },
        Case {
            name: "listed as draining, then as ready",
            before: nothing,
            after: |entry| {
                listed(entry, NOW + ms(1_000), EndpointState::Draining, ms(0));
                listed(entry, NOW + ms(6_000), EndpointState::Ready, ms(0));
            },
            used: true,
        },
        Case {
            name: "list reports a later cold start before the former one counts as ended",
            before: |entry| listed(entry, NOW, EndpointState::Ready, ms(3_000)),
            after: |entry| listed(entry, NOW + ms(4_050), EndpointState::Ready, ms(2_400)),
            used: true,
        },
        Case {
            name: "not listed, then as ready",
            before: nothing,
            after: |entry| {
                entry.update_endpoints(NOW + ms(5_000), &[]);
                listed(entry, NOW + ms(6_000), EndpointState::Ready, ms(0));
            },
            used: true,
        },
    ];
    let leaving = EndpointNotices {
        leaving: true,
        ..EndpointNotices::default()
    };
    for case in cases {
        let mut entry = dispatcher(&[record(1, "a")]);
        (case.before)(&mut entry);
        // A cold endpoint takes a request each 333 ms.
        let said = (0..40).any(|n| send(&mut entry, NOW + ms(10 * n), leaving, ANSWERED));
        assert!(said, "{}", case.name);
        (case.after)(&mut entry);
        let used = is_used(&mut entry, NOW + ms(12_000));
        assert_eq!(used, case.used, "{}", case.name);
    }
}

/// Guards against an endpoint that is never used again because another one once held its address.
#[test]
fn an_endpoint_whose_address_was_reassigned_is_used_again_if_it_stays_listed() {
    struct Case {
        name: &'static str,
        /// When the endpoint is missing from the list, if it is.
        unlisted_at: Option<Duration>,
        until: Duration,
        used: bool,
    }
    let cases = [
        Case {
            name: "soon after",
            unlisted_at: None,
            until: NOW + ms(10_000),
            used: false,
        },
        Case {
            name: "listed for long",
            unlisted_at: None,
            until: NOW + ms(40_000),
            used: true,
        },
        Case {
            name: "left and came back",
            unlisted_at: Some(NOW + ms(3_000)),
            until: NOW + ms(5_000),
            used: true,
        },
    ];
    for case in cases {
        let mut entry = dispatcher(&[record(1, "a")]);
        let notices = EndpointNotices::default();
        assert!(send(&mut entry, NOW, notices, Outcome::Misdirected));
        if let Some(at) = case.unlisted_at {
            entry.update_endpoints(at, &[]);
        }
        listed(&mut entry, case.until, EndpointState::Ready, ms(0));
        assert_eq!(is_used(&mut entry, case.until), case.used, "{}", case.name);
    }
}

/// Guards against an endpoint that has started again and stays unused for as long as it wanted no
/// requests before.
#[test]
fn limits_end_with_the_lifetime_in_which_they_were_named() {
    struct Case {
        name: &'static str,
        notices: EndpointNotices,
    }
    let cases = [
        Case {
            name: "no requests for a minute",
            notices: EndpointNotices {
                retry_after: Some(ms(60_000)),
                ..EndpointNotices::default()
            },
        },
        Case {
            name: "rate of zero",
            notices: EndpointNotices {
                rate_limit: Some(0.0),
                ..EndpointNotices::default()
            },
        },
    ];
    for case in cases {
        let mut entry = dispatcher(&[record(1, "a")]);
        assert!(
            send(&mut entry, NOW, case.notices, ANSWERED),
            "{}",
            case.name
        );
        listed(&mut entry, NOW + ms(1_000), EndpointState::Draining, ms(0));
        assert!(!is_used(&mut entry, NOW + ms(2_000)), "{}", case.name);
        listed(&mut entry, NOW + ms(7_000), EndpointState::Ready, ms(0));
        assert!(is_used(&mut entry, NOW + ms(7_000)), "{}", case.name);
    }
}

/// Guards against a request to the former lifetime of an endpoint whose end counts for the present one.
#[test]
fn requests_to_a_former_lifetime_are_not_counted_in_the_present_one() {
    let mut entry = dispatcher(&[record(1, "a")]);
    let former = entry.choose(NOW, &request()).unwrap();
    listed(&mut entry, NOW + ms(1_000), EndpointState::Draining, ms(0));
    listed(&mut entry, NOW + ms(6_000), EndpointState::Ready, ms(0));
    assert_eq!(entry.in_progress(), 0);
    let present = entry.choose(NOW + ms(6_000), &request()).unwrap();
    entry.record_outcome(NOW + ms(6_000), former.ticket, Outcome::TimedOut);
    assert_eq!(entry.in_progress(), 1);
    assert!(entry.choose(NOW + ms(6_000), &request()).is_ok());
    entry.record_outcome(NOW + ms(6_000), present.ticket, ANSWERED);
}

/// Guards against an endpoint that gets the full load because a suspected restart is forgotten when the
/// list shows that it has started again.
#[test]
fn a_suspected_restart_is_checked_in_the_next_lifetime() {
    let mut entry = dispatcher(&[record(1, "a")]);
    let notices = EndpointNotices::default();
    assert!(send(&mut entry, NOW, notices, Outcome::ClosedWhileIdle));
    listed(&mut entry, NOW + ms(500), EndpointState::Draining, ms(0));
    listed(&mut entry, NOW + ms(2_000), EndpointState::Ready, ms(0));
    let now = NOW + ms(2_000);
    let sent = (0..20).filter(|n| send(&mut entry, now + ms(*n), notices, ANSWERED));
    assert!(sent.count() <= 1);
    assert_eq!(entry.take_health_checks(now + ms(20)).len(), 1);
}

/// Guards against a health check that reached the former lifetime of an endpoint, and whose response
/// lifts the suspicion that it has restarted since.
#[test]
fn a_health_check_from_before_the_loss_of_a_connection_lifts_no_suspicion() {
    struct Case {
        name: &'static str,
        /// Whether a connection is lost between the check and its response.
        lost: bool,
        /// Whether the endpoint gets the full load after the response.
        warm: bool,
    }
    let cases = [
        Case {
            name: "connection lost after the check was sent",
            lost: true,
            warm: false,
        },
        Case {
            name: "no connection lost since",
            lost: false,
            warm: true,
        },
    ];
    let notices = EndpointNotices::default();
    for case in cases {
        let mut entry = dispatcher(&[record(1, "a")]);
        entry.update_region_entries(NOW, 100);
        assert!(send(&mut entry, NOW, notices, Outcome::ClosedWhileIdle));
        send(&mut entry, NOW + ms(10), notices, ANSWERED);
        let checks = entry.take_health_checks(NOW + ms(10));
        assert_eq!(checks.len(), 1, "{}", case.name);
        if case.lost {
            entry.record_idle_close(NOW + ms(20), checks[0].endpoint);
        }
        let report = HealthReport::Answered {
            healthy: true,
            cold_for: Some(Duration::ZERO),
        };
        entry.record_health_check(NOW + ms(30), checks[0].endpoint, report);
        let now = NOW + ms(40);
        let sent = (0..10).filter(|n| send(&mut entry, now + ms(*n), notices, ANSWERED));
        assert_eq!(sent.count() > 1, case.warm, "{}", case.name);
        let checks = entry.take_health_checks(now + ms(10));
        assert_eq!(checks.is_empty(), case.warm, "{}", case.name);
    }
}
