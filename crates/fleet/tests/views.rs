//! Views that pass from replica to replica and to entries.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use mangospindle_fleet::{
    CallerLocation, EndpointList, EndpointRecord, EndpointState, EntryAnnouncement,
    ExchangeRequest, Fleet,
};
use std::time::Duration;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn endpoint(instance: &str, cold_for: Duration) -> EndpointRecord {
    EndpointRecord {
        instance: instance.to_string(),
        service: "lastre".to_string(),
        address: "10.0.0.1:80".parse().unwrap(),
        failure_domain: "aosta".to_string(),
        slots: 3,
        state: EndpointState::Ready,
        cold_for,
    }
}

fn entry(name: &str, domain: &str, region: &str, accepting: bool) -> EntryAnnouncement {
    let number: u8 = name
        .trim_start_matches(char::is_alphabetic)
        .parse()
        .unwrap();
    EntryAnnouncement {
        name: name.to_string(),
        address: format!("10.0.1.{number}:80").parse().unwrap(),
        failure_domain: domain.to_string(),
        region: region.to_string(),
        incarnation: 1,
        accepting,
    }
}

fn request(wants_entries: bool) -> ExchangeRequest {
    ExchangeRequest {
        entry: None,
        wants_entries,
        known_list: 0,
    }
}

/// Guards against subtracting the age of a list from the cold time twice, which made entries send
/// the full load to endpoints that were still cold.
#[test]
fn cold_time_counts_from_the_reading_over_any_number_of_hops() {
    struct Case {
        name: &'static str,
        cold_ms: u64,
        /// When the second replica pulls the view, and when an entry asks the second replica.
        pulled_ms: u64,
        asked_ms: u64,
        left_ms: u64,
    }
    let cases = [
        Case {
            name: "at once",
            cold_ms: 3000,
            pulled_ms: 0,
            asked_ms: 0,
            left_ms: 3000,
        },
        Case {
            name: "late pull",
            cold_ms: 3000,
            pulled_ms: 1000,
            asked_ms: 1000,
            left_ms: 2000,
        },
        Case {
            name: "late entry",
            cold_ms: 3000,
            pulled_ms: 600,
            asked_ms: 1300,
            left_ms: 1700,
        },
        Case {
            name: "warm by then",
            cold_ms: 1000,
            pulled_ms: 600,
            asked_ms: 1300,
            left_ms: 0,
        },
    ];
    for case in cases {
        // The clocks of the replicas have different origins.
        let origin = ms(500_000);
        let (mut first, mut second) = (Fleet::default(), Fleet::default());
        let list = vec![endpoint("i-1", ms(case.cold_ms))];
        first.set_endpoint_list(EndpointList::new(list, ms(10_000)));
        let reply = first.respond(ms(10_000 + case.pulled_ms), request(false), Vec::new());
        let pulled = origin + ms(case.pulled_ms);
        second.merge(pulled, pulled, reply);
        let asked = origin + ms(case.asked_ms);
        let reply = second.respond(asked, request(false), Vec::new());
        let endpoints = reply.endpoints(Duration::ZERO).expect("a list");
        assert_eq!(endpoints[0].cold_for, ms(case.left_ms), "{}", case.name);
        assert_eq!(reply.list_age, Some(ms(case.asked_ms)), "{}", case.name);
    }
}

/// Guards against naming dead, leaving or far entries to callers while better ones live.
#[test]
fn callers_are_sent_to_live_entries_nearby() {
    struct Case {
        name: &'static str,
        /// Name, failure domain, region, whether it accepts, and age of the announcement.
        entries: &'static [(&'static str, &'static str, &'static str, bool, u64)],
        expected: &'static [u8],
    }
    let cases = [
        Case {
            name: "enough entries in the failure domain",
            entries: &[
                ("e1", "a", "north", true, 0),
                ("e2", "a", "north", true, 0),
                ("e3", "b", "north", true, 0),
            ],
            expected: &[1, 2],
        },
        Case {
            name: "a single entry there is joined by those of the region",
            entries: &[
                ("e1", "a", "north", true, 0),
                ("e3", "b", "north", true, 0),
                ("e4", "c", "south", true, 0),
            ],
            expected: &[1, 3],
        },
        Case {
            name: "silent and leaving entries are left out",
            entries: &[
                ("e1", "a", "north", true, 4_000),
                ("e2", "a", "north", false, 0),
                ("e4", "c", "south", true, 0),
            ],
            expected: &[4],
        },
        Case {
            name: "silent entries are better than none",
            entries: &[("e1", "a", "north", true, 4_000)],
            expected: &[1],
        },
    ];
    for case in cases {
        let now = ms(100_000);
        let mut fleet = Fleet::default();
        for (name, domain, region, accepting, age) in case.entries {
            fleet.record_announcement(now, entry(name, domain, region, *accepting), ms(*age));
        }
        let caller = CallerLocation {
            region: "north".to_string(),
            failure_domain: "a".to_string(),
        };
        let addresses = fleet.lookup_entries(now, &caller, ms(2_000)).addresses;
        let expected: Vec<_> = (case.expected.iter())
            .map(|n| format!("10.0.1.{n}:80").parse().unwrap())
            .collect();
        assert_eq!(addresses, expected, "{}", case.name);
    }
}

/// Guards against callers that stay with the few entries that are up first after a restart, or with
/// entries far away once those of their region are back.
#[test]
fn callers_ask_again_soon_while_the_view_may_lack_entries() {
    struct Case {
        name: &'static str,
        region: &'static str,
        /// Age of the view.
        age: Duration,
        lifetime: Duration,
    }
    const LONGEST: Duration = ms(2_000);
    const SOON: Duration = ms(500);
    let cases = [
        Case {
            name: "entries of the region, long after the start",
            region: "north",
            age: ms(10_000),
            lifetime: LONGEST,
        },
        Case {
            name: "the first entries after the start",
            region: "north",
            age: ms(200),
            lifetime: SOON,
        },
        Case {
            name: "only entries of another region",
            region: "south",
            age: ms(10_000),
            lifetime: SOON,
        },
    ];
    let caller = CallerLocation {
        region: "north".to_string(),
        failure_domain: "a".to_string(),
    };
    for case in cases {
        let start = ms(100_000);
        let mut fleet = Fleet::default();
        fleet.record_announcement(start, entry("e1", "b", case.region, true), ms(0));
        let now = start + case.age;
        fleet.record_announcement(now, entry("e1", "b", case.region, true), ms(0));
        let directions = fleet.lookup_entries(now, &caller, LONGEST);
        assert_eq!(directions.time_to_live, case.lifetime, "{}", case.name);
        assert_eq!(directions.addresses.len(), 1, "{}", case.name);
    }
}
