//! Prints the size of the reply that an entry without a path to endpoints gets in each exchange.

use mangospindle_fleet::{EntryAnnouncement, ExchangeRequest, Fleet};
use std::net::SocketAddr;
use std::time::Duration;

const ENTRY_COUNTS: [u16; 4] = [9, 100, 300, 880];

const REGIONS: [&str; 4] = ["astur", "cantab", "vasco", "galicia"];

fn announcement(n: u16, region: &str) -> EntryAnnouncement {
    let [high, low] = n.to_be_bytes();
    EntryAnnouncement {
        name: format!("front-torrelavega-b-{n}"),
        address: SocketAddr::from(([10, 1, high, low], 8641)),
        failure_domain: "torrelavega-b".to_string(),
        region: region.to_string(),
        incarnation: u64::MAX,
        accepting: true,
    }
}

fn main() {
    let now = Duration::from_secs(100);
    for entries in ENTRY_COUNTS {
        let mut fleet = Fleet::default();
        for n in 0..entries {
            let entry = announcement(n, REGIONS[usize::from(n) % REGIONS.len()]);
            fleet.record_announcement(now, entry, Duration::ZERO);
        }
        let requester = announcement(0, REGIONS[0]);
        let mut size = |wants_entries| {
            let request = ExchangeRequest {
                entry: Some(requester.clone()),
                wants_entries,
                known_list: 1,
                differences: None,
            };
            fleet.respond(now, request, Vec::new()).encode().len()
        };
        let (with_peers, without) = (size(true), size(false));
        println!("{entries} entries: {with_peers} bytes with peers, {without} without");
    }
}
