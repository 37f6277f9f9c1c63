//! Tests of the selection of entries to which requests are relayed.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use mangospindle_fleet::{AnnouncedEntry, EntryAnnouncement, RelayPeers};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

const NOW: Duration = Duration::from_secs(100);

fn address(n: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, n], 80))
}

fn announced(n: u8, region: &str, accepting: bool, age_seconds: u64) -> AnnouncedEntry {
    AnnouncedEntry {
        entry: EntryAnnouncement {
            name: format!("e{n}"),
            address: address(n),
            failure_domain: format!("{region}-1"),
            region: region.to_string(),
            incarnation: 1,
            accepting,
        },
        age: Duration::from_secs(age_seconds),
    }
}

fn peers(announced: Vec<AnnouncedEntry>) -> RelayPeers {
    let mut peers = RelayPeers::new("e1".to_string(), "north".to_string());
    peers.update(NOW, announced);
    peers
}

fn selected(
    peers: &mut RelayPeers,
    now: Duration,
    home_regions: &[String],
) -> BTreeSet<SocketAddr> {
    (0..10)
        .filter_map(|_| peers.select(now, home_regions))
        .collect()
}

/// Guards against requests that are relayed to the entry itself, to one that cannot serve them, or
/// outside the regions that may hold their bodies.
#[test]
fn requests_are_relayed_to_usable_entries_nearby() {
    struct Case {
        name: &'static str,
        announced: Vec<AnnouncedEntry>,
        home_regions: Vec<String>,
        expected: &'static [u8],
    }
    let all = || {
        vec![
            announced(1, "north", true, 0),
            announced(2, "north", true, 0),
            announced(3, "north", true, 1),
            announced(4, "south", true, 0),
        ]
    };
    let cases = [
        Case {
            name: "entries of the region, but not itself",
            announced: all(),
            home_regions: Vec::new(),
            expected: &[2, 3],
        },
        Case {
            name: "only the home region",
            announced: all(),
            home_regions: vec!["south".to_string()],
            expected: &[4],
        },
        Case {
            name: "no entry in the home region",
            announced: all(),
            home_regions: vec!["west".to_string()],
            expected: &[],
        },
        Case {
            name: "another region if the own one has none",
            announced: vec![
                announced(1, "north", true, 0),
                announced(2, "north", false, 0),
                announced(3, "north", true, 4),
                announced(4, "south", true, 0),
            ],
            home_regions: Vec::new(),
            expected: &[4],
        },
    ];
    for case in cases {
        let mut peers = peers(case.announced);
        let expected: BTreeSet<SocketAddr> = case.expected.iter().map(|n| address(*n)).collect();
        let selected = selected(&mut peers, NOW, &case.home_regions);
        assert_eq!(selected, expected, "{}", case.name);
    }
}

/// Guards against requests that are offered again and again to an entry that cannot serve them.
#[test]
fn failed_peers_are_avoided_for_a_while() {
    let mut peers = peers(vec![
        announced(2, "north", true, 0),
        announced(3, "north", true, 0),
    ]);
    peers.avoid(NOW, address(2));
    assert_eq!(selected(&mut peers, NOW, &[]), BTreeSet::from([address(3)]));
    let later = NOW + Duration::from_secs(3);
    assert_eq!(selected(&mut peers, later, &[]).len(), 2);
}

/// Guards against a second hop for each request of a service that is down everywhere.
#[test]
fn services_without_endpoints_are_not_relayed_for_a_while() {
    let mut peers = peers(vec![announced(2, "north", true, 0)]);
    peers.record_service_down(NOW, "views");
    assert!(peers.is_service_down(NOW, "views"));
    assert!(!peers.is_service_down(NOW, "orders"));
    assert!(!peers.is_service_down(NOW + Duration::from_secs(1), "views"));
}
