//! Cold endpoints: the rate that they tolerate from all entries together.

use crate::support::{NOW, dispatcher, evacuate, ms, record, request, seeded};
use mangospindle_dispatch::{Dispatcher, Outcome};
use mangospindle_fleet::EndpointRecord;
use std::time::Duration;

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
        dispatcher.update_region_entries(NOW, case.entries);
        let mut sent = 0;
        for step in 0..1_000 {
            let now = NOW + ms(10 * step);
            if let Ok(choice) = dispatcher.choose(now, &request()) {
                sent += 1;
                dispatcher.record_outcome(now, choice.ticket, Outcome::Cancelled);
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
    dispatcher.update_region_entries(NOW, 3);
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

/// Guards against full load on an endpoint that was down and is back, as long as the list does not
/// say that it is cold.
#[test]
fn endpoints_that_were_unreachable_are_cold_when_they_answer() {
    let mut dispatcher = dispatcher(&[record(1, "a")]);
    dispatcher.update_region_entries(NOW, 3);
    for n in 0..2 {
        let choice = dispatcher
            .choose(NOW + ms(n), &request())
            .expect("an endpoint");
        dispatcher.record_outcome(NOW + ms(n), choice.ticket, Outcome::Unreachable);
    }
    // Long after the last failure the endpoint answers for the first time.
    let back = NOW + ms(9_000);
    let choice = dispatcher.choose(back, &request()).expect("a trial");
    let outcome = Outcome::Answered {
        elapsed: ms(100),
        load: None,
    };
    dispatcher.record_outcome(back, choice.ticket, outcome);
    let sent = (0..100).filter(|n| {
        let now = back + ms(10 * n);
        let choice = dispatcher.choose(now, &request());
        choice.is_ok_and(|c| {
            dispatcher.record_outcome(now, c.ticket, Outcome::Cancelled);
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

/// Guards against a pace that is left over from an earlier cold start: entries that have not used an
/// endpoint since would all send to it at once when it is cold again.
#[test]
fn each_cold_start_has_a_pace_of_its_own() {
    const ENTRIES: u64 = 28;
    let cold = EndpointRecord {
        cold_for: ms(3_000),
        ..record(1, "b")
    };
    let mut sent = 0;
    for seed in 0..ENTRIES {
        let mut entry = seeded(std::slice::from_ref(&cold), seed);
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
    // A rate of 5 a second with half of it and a slack of 5 more.
    assert!(sent <= 12, "{sent} requests in the first second");
}
