//! Tests of the entries to which callers are directed, and of when a lookup is answered.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use mangospindle_fleet::{CallerLocation, EntryAnnouncement, Fleet};
use std::time::Duration;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
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

/// Guards against directing callers to dead, leaving or remote entries while better ones are live.
#[test]
fn callers_are_directed_to_live_entries_nearby() {
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

/// Guards against callers that stay with the few entries that start first after a restart, or with
/// entries of another region once those of their own region are back.
#[test]
fn lookup_time_to_live_is_short_while_the_view_may_be_incomplete() {
    struct Case {
        name: &'static str,
        region: &'static str,
        /// Age of the view.
        age: Duration,
        expected_time_to_live: Duration,
    }
    const MAX_TIME_TO_LIVE: Duration = ms(2_000);
    const SHORT_TIME_TO_LIVE: Duration = ms(500);
    let cases = [
        Case {
            name: "entries of the region, long after the start",
            region: "north",
            age: ms(10_000),
            expected_time_to_live: MAX_TIME_TO_LIVE,
        },
        Case {
            name: "the first entries after the start",
            region: "north",
            age: ms(200),
            expected_time_to_live: SHORT_TIME_TO_LIVE,
        },
        Case {
            name: "only entries of another region",
            region: "south",
            age: ms(10_000),
            expected_time_to_live: SHORT_TIME_TO_LIVE,
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
        let lookup = fleet.lookup_entries(now, &caller, MAX_TIME_TO_LIVE);
        assert_eq!(
            lookup.time_to_live, case.expected_time_to_live,
            "{}",
            case.name
        );
        assert_eq!(lookup.addresses.len(), 1, "{}", case.name);
    }
}

/// Guards against lookups that are answered by a replica without entries, or with the first entry alone when
/// all of them restart at the same time.
#[test]
fn lookups_wait_while_the_first_entries_arrive() {
    struct Case {
        name: &'static str,
        /// Time since the first announcement; `None` without any.
        age: Option<Duration>,
        expected_settling: bool,
        expected_incomplete: bool,
    }
    let cases = [
        Case {
            name: "no entry",
            age: None,
            expected_settling: true,
            expected_incomplete: true,
        },
        Case {
            name: "the first entry has just been announced",
            age: Some(ms(199)),
            expected_settling: true,
            expected_incomplete: true,
        },
        Case {
            name: "others had time to follow",
            age: Some(ms(200)),
            expected_settling: false,
            expected_incomplete: true,
        },
        Case {
            name: "all entries that are live have been heard",
            age: Some(ms(3_000)),
            expected_settling: false,
            expected_incomplete: false,
        },
    ];
    for case in cases {
        let start = ms(100_000);
        let mut fleet = Fleet::default();
        if case.age.is_some() {
            fleet.record_announcement(start, entry("e1", "a", "north", true), ms(0));
        }
        let now = start + case.age.unwrap_or(ms(60_000));
        assert_eq!(
            fleet.is_settling(now),
            case.expected_settling,
            "{}",
            case.name
        );
        assert_eq!(
            fleet.is_incomplete(now),
            case.expected_incomplete,
            "{}",
            case.name
        );
    }
}
