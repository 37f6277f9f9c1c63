//! Tests of the rate limit of cold endpoints, which all entries share.

use crate::support::{NOW, dispatcher, dispatcher_with_seed, evacuate, ms, record, request};
use mangospindle_dispatch::{Dispatcher, Outcome};
use mangospindle_fleet::EndpointRecord;
use std::time::Duration;

/// Guards against a cold endpoint receiving more than its rate limit from the entries of its region
/// together, or any request from entries of other regions.
#[test]
fn cold_endpoints_are_rate_limited() {
    struct Case {
        name: &'static str,
        domain: &'static str,
        entries: u32,
        /// Maximum number of requests from this entry in 10 s.
        max_requests: usize,
    }
    let cases = [
        Case {
            name: "single entry",
            domain: "a",
            entries: 1,
            max_requests: 51,
        },
        Case {
            name: "one of three",
            domain: "b",
            entries: 3,
            max_requests: 18,
        },
        Case {
            name: "another region",
            domain: "c",
            entries: 3,
            max_requests: 0,
        },
    ];
    for case in cases {
        let cold = EndpointRecord {
            cold_for: ms(60_000),
            ..record(1, case.domain)
        };
        let mut dispatcher = dispatcher(&[cold]);
        dispatcher.update_region_entries(NOW, case.entries);
        let mut sent = 0;
        for tick in 0..1_000 {
            let now = NOW + ms(10 * tick);
            if let Ok(choice) = dispatcher.choose(now, &request()) {
                sent += 1;
                dispatcher.record_outcome(now, choice.ticket, Outcome::Cancelled);
            }
        }
        assert!(sent <= case.max_requests, "{}: {sent} requests", case.name);
        assert!(
            sent > 0 || case.max_requests == 0,
            "{}: no requests",
            case.name
        );
    }
}

/// Guards against treating endpoints as warm right after an evacuation. They may have started at
/// its end.
#[test]
fn endpoints_are_cold_after_an_evacuation() {
    let mut dispatcher = dispatcher(&[record(1, "b")]);
    dispatcher.update_region_entries(NOW, 3);
    evacuate(&mut dispatcher, NOW, &["b"]);
    evacuate(&mut dispatcher, NOW + ms(8_000), &[]);
    let (now, later) = (NOW + ms(8_100), NOW + ms(16_000));
    let count = |d: &mut Dispatcher, at: Duration| {
        let sent = (0..100).filter_map(|_| d.choose(at, &request()).ok());
        sent.count()
    };
    assert!(
        count(&mut dispatcher, now) <= 1,
        "too many requests while the endpoint is cold"
    );
    assert!(
        count(&mut dispatcher, later) > 3,
        "too few requests once the endpoint is warm"
    );
}

/// Guards against full load on a restarted endpoint before the endpoint list reports that it is
/// cold.
#[test]
fn unreachable_endpoints_are_cold_when_they_respond_again() {
    let mut dispatcher = dispatcher(&[record(1, "a")]);
    dispatcher.update_region_entries(NOW, 3);
    for n in 0..2 {
        let choice = dispatcher
            .choose(NOW + ms(n), &request())
            .expect("an endpoint is usable");
        dispatcher.record_outcome(NOW + ms(n), choice.ticket, Outcome::Unreachable);
    }
    // The endpoint responds for the first time, long after the last failure.
    let recovery = NOW + ms(9_000);
    let choice = dispatcher
        .choose(recovery, &request())
        .expect("a probe request is allowed");
    let outcome = Outcome::Answered {
        elapsed: ms(100),
        load: None,
    };
    dispatcher.record_outcome(recovery, choice.ticket, outcome);
    let sent = (0..100).filter(|n| {
        let now = recovery + ms(10 * n);
        let choice = dispatcher.choose(now, &request());
        choice.is_ok_and(|c| {
            dispatcher.record_outcome(now, c.ticket, Outcome::Cancelled);
            true
        })
    });
    // A third of 5 requests per second, and one at the start.
    assert!(sent.count() <= 3, "too many requests to a cold endpoint");
}

/// Guards against exceeding the rate limit of cold endpoints while entries are partitioned from the
/// control replicas. Those entries are not counted as live but still send requests.
#[test]
fn partitioned_entries_still_count() {
    let cold = EndpointRecord {
        cold_for: ms(60_000),
        ..record(1, "a")
    };
    let mut dispatcher = dispatcher(&[cold]);
    dispatcher.update_region_entries(NOW, 28);
    let sent = (0..1_500).filter(|n| {
        let now = NOW + ms(10 * n);
        dispatcher.update_region_entries(now, 2);
        let choice = dispatcher.choose(now, &request());
        choice.is_ok_and(|c| {
            dispatcher.record_outcome(now, c.ticket, Outcome::Cancelled);
            true
        })
    });
    // 15 s at a 28th of 5 requests per second, and one at the start.
    assert!(
        sent.count() <= 4,
        "too many requests for this entry's share of the rate"
    );
}

/// Guards against all entries treating an endpoint as warm at the same moment. Each would then send
/// it a request while it may still be cold.
#[test]
fn entries_treat_an_endpoint_as_warm_at_different_times() {
    const ENTRIES: u64 = 28;
    let cold = EndpointRecord {
        cold_for: ms(3_000),
        ..record(1, "a")
    };
    let end = NOW + ms(3_000);
    let mut entries: Vec<Dispatcher> = (0..ENTRIES)
        .map(|seed| {
            let mut dispatcher = dispatcher_with_seed(std::slice::from_ref(&cold), seed);
            dispatcher.update_region_entries(NOW, ENTRIES as u32);
            dispatcher
        })
        .collect();
    let mut sends = |from: Duration, to: Duration| {
        let mut count = 0;
        let mut now = from;
        while now < to {
            for entry in &mut entries {
                if let Ok(choice) = entry.choose(now, &request()) {
                    entry.record_outcome(now, choice.ticket, Outcome::Cancelled);
                    count += 1;
                }
            }
            now += ms(200);
        }
        count
    };
    // 5 requests per second, with a tolerance of half of that and 5 more.
    let max_sends = 12;
    assert!(
        sends(end - ms(100), end + ms(900)) <= max_sends,
        "too many requests at the end of the cold start"
    );
    let first = sends(end + ms(1_100), end + ms(1_300));
    assert!(
        first < ENTRIES / 2,
        "{first} entries treat the endpoint as warm at once"
    );
    assert_eq!(
        sends(end + ms(2_600), end + ms(2_800)),
        ENTRIES,
        "not all entries treat the endpoint as warm in the end"
    );
}

/// Guards against a rate limiter that keeps its state from an earlier cold start. Entries that have
/// not used the endpoint since would all send to it at once in its next cold start.
#[test]
fn rate_limit_is_reset_at_each_cold_start() {
    const ENTRIES: u64 = 28;
    let cold = EndpointRecord {
        cold_for: ms(3_000),
        ..record(1, "b")
    };
    let mut sent = 0;
    for seed in 0..ENTRIES {
        let mut entry = dispatcher_with_seed(std::slice::from_ref(&cold), seed);
        entry.update_region_entries(NOW, ENTRIES as u32);
        if let Ok(choice) = entry.choose(NOW + ms(1_000), &request()) {
            entry.record_outcome(NOW + ms(1_000), choice.ticket, Outcome::Cancelled);
        }
        evacuate(&mut entry, NOW + ms(20_000), &["b"]);
        let end = NOW + ms(30_000);
        evacuate(&mut entry, end, &[]);
        for n in 0..100 {
            let now = end + ms(10 * n);
            if let Ok(choice) = entry.choose(now, &request()) {
                entry.record_outcome(now, choice.ticket, Outcome::Cancelled);
                sent += 1;
            }
        }
    }
    // 5 requests per second, with a tolerance of half of that and 5 more.
    assert!(sent <= 12, "{sent} requests in the first second");
}

/// Guards against a list that reports the end of a cold start and makes entries that knew of it treat
/// the endpoint as cold once more, and against entries that did not know of it and ignore the report.
#[test]
fn the_reported_end_of_a_cold_start_counts_once() {
    struct Case {
        name: &'static str,
        /// Whether this entry applied a list during the cold start.
        knew: bool,
        /// Whether the endpoint gets the full load 2.4 s after the end, and 1.5 s after the report.
        warm_after_end: bool,
    }
    let cases = [
        Case {
            name: "known",
            knew: true,
            warm_after_end: true,
        },
        Case {
            name: "not known",
            knew: false,
            warm_after_end: false,
        },
    ];
    for case in cases {
        let mut dispatcher = dispatcher(&[record(1, "a")]);
        dispatcher.update_region_entries(NOW, 100);
        let report = |cold_for| EndpointRecord {
            cold_for,
            ..record(1, "a")
        };
        if case.knew {
            dispatcher.update_endpoints(NOW, &[report(ms(3_000))]);
        }
        let reported = NOW + ms(3_000) + ms(1_900);
        dispatcher.update_endpoints(reported, &[report(ms(1))]);
        let sent = |from: Duration, dispatcher: &mut Dispatcher| {
            let sent = (0..10).filter(|n| {
                let choice = dispatcher.choose(from + ms(*n), &request());
                choice.is_ok_and(|c| {
                    dispatcher.record_outcome(from + ms(*n), c.ticket, Outcome::Cancelled);
                    true
                })
            });
            sent.count()
        };
        let after_end = sent(NOW + ms(3_000 + 2_400), &mut dispatcher);
        assert_eq!(after_end > 1, case.warm_after_end, "{}", case.name);
        let later = sent(reported + ms(2_500), &mut dispatcher);
        assert!(later > 1, "{}: {later} in the end", case.name);
    }
}
