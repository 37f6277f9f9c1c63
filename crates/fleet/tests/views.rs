//! Tests of views that are exchanged between replicas and with entries.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use mangospindle_fleet::{
    EndpointList, EndpointRecord, EndpointState, EntryAnnouncement, ExchangeRequest, Fleet, PeerKey,
};
use std::collections::BTreeMap;
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
        differences: None,
    }
}

/// Guards against subtracting the age of an endpoint list from `cold_for` twice. Entries then sent
/// the full load to endpoints that were still cold.
#[test]
fn cold_time_is_adjusted_once_over_several_hops() {
    struct Case {
        name: &'static str,
        cold_ms: u64,
        /// When the second replica pulls the view, and when an entry queries the second replica.
        pulled_ms: u64,
        queried_ms: u64,
        expected_cold_ms: u64,
    }
    let cases = [
        Case {
            name: "at once",
            cold_ms: 3000,
            pulled_ms: 0,
            queried_ms: 0,
            expected_cold_ms: 3000,
        },
        Case {
            name: "late pull",
            cold_ms: 3000,
            pulled_ms: 1000,
            queried_ms: 1000,
            expected_cold_ms: 2000,
        },
        Case {
            name: "late entry",
            cold_ms: 3000,
            pulled_ms: 600,
            queried_ms: 1300,
            expected_cold_ms: 1700,
        },
        Case {
            name: "ended on the way",
            cold_ms: 1000,
            pulled_ms: 600,
            queried_ms: 1300,
            expected_cold_ms: 1,
        },
        Case {
            name: "ended long before",
            cold_ms: 1000,
            pulled_ms: 600,
            queried_ms: 3200,
            expected_cold_ms: 0,
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
        second.merge(pulled, pulled, PeerKey(1), reply);
        let queried = origin + ms(case.queried_ms);
        let reply = second.respond(queried, request(false), Vec::new());
        let endpoints = reply.list.expect("the reply contains a list");
        assert_eq!(
            endpoints[0].cold_for,
            ms(case.expected_cold_ms),
            "{}",
            case.name
        );
        assert_eq!(reply.list_age, Some(ms(case.queried_ms)), "{}", case.name);
    }
}

/// Guards against entries that send the full load to an endpoint right after its cold start, because
/// the remaining time was counted from the start of a slow reading or was used up on the way.
#[test]
fn cold_starts_that_ended_lately_are_reported() {
    struct Case {
        name: &'static str,
        /// Remaining time of the cold start, and how long the reading took.
        cold_ms: u64,
        reading_ms: u64,
        /// When a later reading no longer shows the cold start, if there is one.
        reread_ms: Option<u64>,
        queried_ms: u64,
        expected_cold_ms: u64,
    }
    let cases = [
        Case {
            name: "the remaining time counts from the end of a reading",
            cold_ms: 1500,
            reading_ms: 700,
            reread_ms: None,
            queried_ms: 1200,
            expected_cold_ms: 1000,
        },
        Case {
            name: "the end is on the way",
            cold_ms: 1500,
            reading_ms: 700,
            reread_ms: None,
            queried_ms: 2700,
            expected_cold_ms: 1,
        },
        Case {
            name: "the next reading replaces the list before it is queried",
            cold_ms: 1500,
            reading_ms: 0,
            reread_ms: Some(2100),
            queried_ms: 2200,
            expected_cold_ms: 1,
        },
        Case {
            name: "long after the end",
            cold_ms: 1500,
            reading_ms: 0,
            reread_ms: Some(3600),
            queried_ms: 3700,
            expected_cold_ms: 0,
        },
    ];
    for case in cases {
        let start = ms(10_000);
        let mut fleet = Fleet::default();
        let list = vec![endpoint("i-1", ms(case.cold_ms))];
        let finished = start + ms(case.reading_ms);
        fleet.set_endpoint_list(EndpointList::from_reading(list, start, finished));
        if let Some(at) = case.reread_ms {
            let list = vec![endpoint("i-1", Duration::ZERO)];
            fleet.set_endpoint_list(EndpointList::new(list, start + ms(at)));
        }
        let reply = fleet.respond(start + ms(case.queried_ms), request(false), Vec::new());
        let endpoints = reply.list.expect("the reply contains a list");
        assert_eq!(
            endpoints[0].cold_for,
            ms(case.expected_cold_ms),
            "{}",
            case.name
        );
    }
}

/// Guards against a reply to an entry that grows with the deployment, names the entry itself or entries
/// that do not accept requests, and against entries that all relay to the same few.
#[test]
fn entries_learn_a_few_peers_of_each_region() {
    const MAX_PEERS_PER_REGION: usize = 12;
    let now = ms(100_000);
    let mut fleet = Fleet::default();
    for n in 0..100 {
        let region = ["north", "south"][n % 2];
        let accepting = n % 5 != 0;
        let mut entry = entry("e1", "a", region, accepting);
        entry.name = format!("e{n}");
        entry.address.set_port(n as u16 + 1);
        fleet.record_announcement(now, entry, ms(0));
    }
    let mut uses: BTreeMap<String, usize> = BTreeMap::new();
    for n in 0..100 {
        let region = ["north", "south"][n % 2];
        let mut requester = entry("e1", "a", region, true);
        requester.name = format!("e{n}");
        requester.address.set_port(n as u16 + 1);
        let request = ExchangeRequest {
            entry: Some(requester.clone()),
            wants_entries: true,
            known_list: 0,
            differences: None,
        };
        let peers = fleet.clone().respond(now, request, Vec::new()).entries;
        for region in ["north", "south"] {
            let in_region = peers.iter().filter(|p| p.entry.region == region);
            assert_eq!(in_region.count(), MAX_PEERS_PER_REGION);
        }
        assert!(peers.iter().all(|p| p.entry.name != requester.name));
        for peer in peers {
            *uses.entry(peer.entry.name).or_default() += 1;
        }
    }
    // 24 peers of each of 100 entries, spread over 80.
    let most = uses.values().max().copied().unwrap_or_default();
    assert!(most < 60, "one entry is a peer of {most} others");
    // A replica still learns all entries.
    let all = fleet.respond(now, request(true), Vec::new()).entries;
    assert_eq!(all.len(), 100);
}

/// Guards against a cold start that is forgotten, or counted too long, while further pages are read.
#[test]
fn cold_starts_age_while_a_list_is_read() {
    let cases = [(0, 500, 0), (3_000, 500, 2_500), (400, 500, 1), (1, 500, 1)];
    for (cold_ms, age_ms, expected_ms) in cases {
        let mut record = endpoint("i-1", ms(cold_ms));
        record.age_cold_start(ms(age_ms));
        assert_eq!(record.cold_for, ms(expected_ms), "{cold_ms} ms");
    }
}
