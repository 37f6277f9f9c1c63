use crate::fixture::*;
use mangospindle_model::{EntryId, FailureDomainId, RegionId};
use mangospindle_routing::{ClientTable, MAX_LOOKUP_ENTRIES, Router};
use mangospindle_state::EntryStatus;
use proptest::prelude::*;
use std::collections::HashMap;
use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

const SHAPE: Shape = Shape {
    regions: 3,
    domains: 2,
    entries: 2,
    endpoints: 1,
};
const RANGES: &[(&str, u8, u16)] = &[
    ("10.0.0.0/8", 16, 0),
    ("10.1.0.0/16", 24, 1),
    ("10.1.2.0/24", 24, 2),
    ("255.255.0.0/16", 24, 1),
    ("2001:db8::/32", 48, 1),
    ("2001:db8:8000::/33", 64, 2),
    ("::/0", 0, 0),
];

/// Guards against matching a shorter prefix, or none, at the borders of nested ranges.
#[test]
fn longest_prefix_wins() {
    struct Case {
        client: &'static str,
        region: Option<u16>,
    }
    let case = |client, region| Case { client, region };
    let cases = [
        case("10.0.255.255", Some(0)),
        case("10.1.0.0", Some(1)),
        case("10.1.1.255", Some(1)),
        case("10.1.2.0", Some(2)),
        case("10.1.3.0", Some(1)),
        case("10.2.0.0", Some(0)),
        case("11.0.0.0", None),
        case("9.255.255.255", None),
        case("255.255.255.255", Some(1)),
        case("::ffff:10.1.2.3", Some(2)),
        case("2001:db8:7fff::1", Some(1)),
        case("2001:db8:8000::1", Some(2)),
        case("2001:db9::", Some(0)),
        case("ffff:ffff:ffff:ffff:ffff:ffff:ffff:ffff", Some(0)),
    ];
    let table = ClientTable::build(&topology(SHAPE, RANGES));
    for Case { client, region } in cases {
        let home = table.lookup(client.parse().expect("an address"));
        assert_eq!(home.known.then_some(home.region.0), region, "{client}");
        assert_eq!(
            home.preferred.0 / 2,
            home.region.0,
            "site of {client} is in its region"
        );
    }
}

/// Guards against an uneven or unstable choice of sites: each block keeps its site unless the site
/// goes away.
#[test]
fn blocks_spread_and_stay() {
    let shape = Shape {
        regions: 1,
        domains: 5,
        entries: 1,
        endpoints: 1,
    };
    let ranges = [("10.0.0.0/8", 24, 0)];
    let full = topology(shape, &ranges);
    let mut fewer = full.clone();
    fewer.entries.pop();
    let (before, after) = (ClientTable::build(&full), ClientTable::build(&fewer));
    assert_eq!(before.block_count(), 65_536);
    let mut counts = HashMap::new();
    for block in 0..=u16::MAX {
        let [a, b] = block.to_be_bytes();
        let client = IpAddr::from([10, a, b, 7]);
        let (old, new) = (
            before.lookup(client).preferred,
            after.lookup(client).preferred,
        );
        *counts.entry(old).or_insert(0) += 1;
        assert!(old == new || old == FailureDomainId(4));
    }
    assert!(
        counts.values().all(|n| (12_000..14_200).contains(n)),
        "{counts:?}"
    );
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, ..Default::default() })]

    /// Guards against errors of the flattened table for any nesting, against a linear search.
    #[test]
    fn table_equals_linear_search(
        nets in prop::collection::vec((0..8u32, 0..=8u8, 0..3u16), 0..12),
        clients in prop::collection::vec(any::<u8>(), 1..50),
    ) {
        let mut topology = topology(SHAPE, &[]);
        for (bits, prefix, region) in nets {
            let text = format!("{}.0.0.0/{prefix}", (bits << 5) & !(255u32 >> prefix));
            let net: ipnet::IpNet = text.parse().expect("a range");
            let net = net.trunc();
            let region = RegionId(region);
            topology.client_ranges.push(mangospindle_model::ClientRange { net, block_prefix: 9, region });
        }
        let table = ClientTable::build(&topology);
        for client in clients {
            let address = IpAddr::from([client, 1, 2, 3]);
            let matching = topology.client_ranges.iter().filter(|r| r.net.contains(&address));
            let expected = matching.max_by_key(|r| r.net.prefix_len()).map(|r| r.region);
            let found = table.lookup(address);
            prop_assert_eq!(found.known.then_some(found.region), expected);
        }
    }
}

/// Guards against entries in the list that cannot serve, against lists that end with the preferred
/// failure domain, and against empty lists.
#[test]
fn lookup_order() {
    struct Case {
        name: &'static str,
        status: &'static [(u16, EntryStatus)],
        unresponsive: &'static [u16],
        /// Groups of equally good entries in their order.
        expected: &'static [&'static [u16]],
    }
    const LEAVING: EntryStatus = EntryStatus::Leaving { incarnation: 1 };
    const GONE: EntryStatus = EntryStatus::Fenced;
    fn case(
        name: &'static str,
        status: &'static [(u16, EntryStatus)],
        unresponsive: &'static [u16],
        expected: &'static [&'static [u16]],
    ) -> Case {
        Case {
            name,
            status,
            unresponsive,
            expected,
        }
    }
    // The client prefers domain 3 (entries 6 and 7) of region 1 (entries 4 to 7).
    let cases = [
        case("all good", &[], &[], &[&[6, 7], &[4, 5], &[0, 1, 2, 3]]),
        case(
            "leaving",
            &[(6, LEAVING)],
            &[],
            &[&[7], &[4, 5], &[0, 1, 2, 3]],
        ),
        case(
            "fenced",
            &[(4, GONE), (7, GONE)],
            &[],
            &[&[6], &[5], &[0, 1, 2, 3]],
        ),
        case(
            "unresponsive",
            &[],
            &[6, 4, 5],
            &[&[7], &[0, 1, 2, 3], &[8, 9, 10, 11]],
        ),
        case(
            "all unresponsive",
            &[],
            &[1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11],
            &[&[0]],
        ),
        case(
            "none active",
            &[
                (0, LEAVING),
                (1, GONE),
                (2, GONE),
                (3, GONE),
                (4, GONE),
                (5, GONE),
                (6, GONE),
                (7, GONE),
                (8, GONE),
                (9, GONE),
                (10, GONE),
                (11, GONE),
            ],
            &[],
            &[&[0]],
        ),
    ];
    for Case {
        name,
        status,
        unresponsive,
        expected,
    } in cases
    {
        let mut config = config(SHAPE, &[("10.0.0.0/8", 8, 1)], profile(1.0, 0.0, 0.0));
        for (entry, status) in status {
            set_status(&mut config, *entry, *status);
        }
        let mut client = ClientTable::build(&config.topology).lookup([10, 0, 0, 1].into());
        client.preferred = FailureDomainId(3);
        let mut router = Router::new(EntryId(0), 1);
        router.update_config(Duration::ZERO, Arc::new(config));
        for entry in unresponsive {
            (0..3).for_each(|_| router.observe_probe(EntryId(*entry), None));
        }
        let mut firsts = HashMap::new();
        for block in 0..200 {
            client.block = block;
            let list: Vec<u16> = router.lookup(&client, READS).iter().map(|e| e.0).collect();
            assert!(list.len() <= MAX_LOOKUP_ENTRIES);
            let mut rest = &list[..];
            for group in expected {
                let (head, tail) = rest.split_at(group.len().min(rest.len()));
                assert!(head.iter().all(|e| group.contains(e)), "{name}: {list:?}");
                rest = tail;
            }
            *firsts.entry(list[0]).or_insert(0) += 1;
        }
        let fair = 200 / expected[0].len();
        assert!(
            firsts.values().all(|n| *n > fair * 2 / 3),
            "{name}: {firsts:?}"
        );
    }
}
