//! Tests of what endpoints say in their responses about the requests that they want.

use crate::support::{NOW, dispatcher, dispatcher_with_seed, ms, record, request};
use mangospindle_dispatch::{Dispatcher, EndpointKey, EndpointNotices, Outcome};
use mangospindle_fleet::EndpointRecord;
use std::time::Duration;

/// Sends a request if the dispatcher allows one, and records what the endpoint says.
fn send(entry: &mut Dispatcher, now: Duration, notices: EndpointNotices) -> bool {
    let Ok(choice) = entry.choose(now, &request()) else {
        return false;
    };
    entry.record_notices(now, choice.ticket.endpoint, notices);
    entry.record_outcome(now, choice.ticket, Outcome::Cancelled);
    true
}

/// Guards against entries that each send an endpoint as many requests as it takes from all of them.
#[test]
fn named_rate_limits_are_shared_by_all_entries() {
    struct Case {
        name: &'static str,
        rate: f64,
        entries_per_region: u32,
    }
    let cases = [
        Case {
            name: "few entries",
            rate: 2.4,
            entries_per_region: 3,
        },
        Case {
            name: "a low rate and many entries",
            rate: 1.5,
            entries_per_region: 28,
        },
        Case {
            name: "no requests at all",
            rate: 0.0,
            entries_per_region: 9,
        },
        Case {
            name: "a high rate",
            rate: 20.0,
            entries_per_region: 9,
        },
    ];
    const WINDOW: Duration = ms(4_000);
    for case in cases {
        let notices = EndpointNotices {
            rate_limit: Some(case.rate),
            ..EndpointNotices::default()
        };
        // The endpoint is in the region of one half of the entries and not in that of the other.
        let domains = ["a", "c"].iter().cycle();
        let mut entries: Vec<Dispatcher> = (0..2 * case.entries_per_region)
            .zip(domains)
            .map(|(seed, domain)| {
                let mut entry = dispatcher_with_seed(&[record(1, domain)], seed.into());
                entry.update_region_entries(NOW, case.entries_per_region);
                entry
            })
            .collect();
        for entry in &mut entries {
            assert!(send(entry, NOW, notices), "{}", case.name);
        }
        let mut arrivals = Vec::new();
        for n in 0..3_000 {
            let now = NOW + ms(10 * n);
            for entry in &mut entries {
                if send(entry, now, notices) {
                    arrivals.push(now);
                }
            }
        }
        let in_window = |start: &Duration| {
            let window = *start..*start + WINDOW;
            arrivals.iter().filter(|at| window.contains(at)).count()
        };
        let most = arrivals.iter().map(in_window).max().unwrap_or(0);
        let allowed = 1.5 * case.rate * WINDOW.as_secs_f64() + 5.0;
        assert!(most as f64 <= allowed, "{}: {most} requests", case.name);
        // Callers should not lose more of the endpoint than it asks for.
        let used = arrivals.len() as f64 / 30.0;
        assert!(used >= 0.7 * case.rate, "{}: {used} a second", case.name);
    }
}

/// Guards against an endpoint that stays limited after it has stopped to name a limit.
#[test]
fn rate_limits_end_with_the_first_response_without_one() {
    let mut entry = dispatcher(&[record(1, "a")]);
    let limited = EndpointNotices {
        rate_limit: Some(0.5),
        ..EndpointNotices::default()
    };
    assert!(send(&mut entry, NOW, limited));
    let mut now = NOW;
    while !send(&mut entry, now, EndpointNotices::default()) {
        now += ms(10);
        assert!(now < NOW + ms(10_000), "no request within 10 s");
    }
    let sent = (0..10).filter(|n| send(&mut entry, now + ms(10 * n), EndpointNotices::default()));
    assert_eq!(sent.count(), 10);
}

/// Guards against requests to an endpoint that has asked this entry to stay away for a while.
#[test]
fn endpoints_are_left_alone_for_as_long_as_they_ask() {
    let mut entry = dispatcher(&[record(1, "a")]);
    let notices = EndpointNotices {
        retry_after: Some(ms(2_500)),
        ..EndpointNotices::default()
    };
    assert!(send(&mut entry, NOW, notices));
    // A later response without the notice does not shorten the time.
    entry.record_notices(NOW + ms(50), EndpointKey(0), EndpointNotices::default());
    for at in [100, 1_000, 2_400] {
        let sent = send(&mut entry, NOW + ms(at), EndpointNotices::default());
        assert!(!sent, "a request after {at} ms");
    }
    assert!(entry.take_health_checks(NOW + ms(2_400)).is_empty());
    assert!(send(
        &mut entry,
        NOW + ms(2_600),
        EndpointNotices::default()
    ));
}

/// Guards against new requests to an endpoint that has said that it is about to stop, before the list
/// shows it as draining, and against an endpoint that stays unused after it has started again.
#[test]
fn leaving_endpoints_receive_no_requests_until_they_start_again() {
    let mut entry = dispatcher(&[record(1, "a")]);
    let notices = EndpointNotices {
        leaving: true,
        ..EndpointNotices::default()
    };
    assert!(send(&mut entry, NOW, notices));
    for at in [100, 3_000, 10_000] {
        let now = NOW + ms(at);
        entry.update_endpoints(now, &[record(1, "a")]);
        let sent = send(&mut entry, now, EndpointNotices::default());
        assert!(!sent, "a request after {at} ms");
    }
    let started = NOW + ms(12_000);
    let cold = EndpointRecord {
        cold_for: ms(1_000),
        ..record(1, "a")
    };
    entry.update_endpoints(started, &[cold]);
    let warm = started + ms(4_000);
    assert!(send(&mut entry, warm, EndpointNotices::default()));
}

/// Guards against requests to an endpoint that wants none, because it said so in a response to a health check.
#[test]
fn notices_in_responses_to_health_checks_count() {
    struct Case {
        name: &'static str,
        notices: EndpointNotices,
        /// Times after the response at which a request is sent to the endpoint.
        used: &'static [(u64, bool)],
    }
    let cases = [
        Case {
            name: "nothing",
            notices: EndpointNotices::default(),
            used: &[(0, true)],
        },
        Case {
            name: "retry time",
            notices: EndpointNotices {
                retry_after: Some(ms(2_000)),
                ..EndpointNotices::default()
            },
            used: &[(0, false), (1_999, false), (2_000, true)],
        },
        Case {
            name: "leaving",
            notices: EndpointNotices {
                leaving: true,
                ..EndpointNotices::default()
            },
            used: &[(0, false), (10_000, false)],
        },
    ];
    for case in cases {
        let mut entry = dispatcher(&[record(1, "a")]);
        let choice = entry.choose(NOW, &request()).unwrap();
        entry.record_outcome(NOW, choice.ticket, Outcome::Cancelled);
        entry.record_check_notices(NOW, choice.ticket.endpoint, case.notices);
        for (after, used) in case.used {
            let sent = send(&mut entry, NOW + ms(*after), case.notices);
            assert_eq!(sent, *used, "{} after {after} ms", case.name);
        }
    }
}
