use crate::fixture::*;
use mangospindle_model::{ClientRange, EntryId, FailureDomainId, RegionId, Topology};
use mangospindle_routing::{ClientTable, MAX_LOOKUP_ENTRIES, Router};
use mangospindle_state::ConfigChange;
use proptest::prelude::*;
use std::collections::HashMap;
use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

/// Three regions with two failure domains each and two entries in each of these.
fn deployment(ranges: &[(&str, u8, u16)]) -> Topology {
    topology(&shape(3, 2, 2, 1), 1, ranges)
}

/// Guards against matching a shorter prefix, or none, at the borders of nested ranges.
#[test]
fn longest_prefix_wins() {
    /// Client and its region, if it is known.
    struct Case(&'static str, Option<u16>);
    let cases = [
        Case("10.0.255.255", Some(0)),
        Case("10.1.0.0", Some(1)),
        Case("10.1.1.255", Some(1)),
        Case("10.1.2.0", Some(2)),
        Case("10.1.3.0", Some(1)),
        Case("10.2.0.0", Some(0)),
        Case("11.0.0.0", None),
        Case("9.255.255.255", None),
        Case("255.255.255.255", Some(1)),
        Case("::ffff:10.1.2.3", Some(2)),
        Case("2001:db8:7fff::1", Some(1)),
        Case("2001:db8:8000::1", Some(2)),
        Case("2001:db9::", Some(0)),
        Case("ffff:ffff:ffff:ffff:ffff:ffff:ffff:ffff", Some(0)),
    ];
    let table = ClientTable::build(&deployment(&[
        ("10.0.0.0/8", 16, 0),
        ("10.1.0.0/16", 24, 1),
        ("10.1.2.0/24", 24, 2),
        ("255.255.0.0/16", 24, 1),
        ("2001:db8::/32", 48, 1),
        ("2001:db8:8000::/33", 64, 2),
        ("::/0", 0, 0),
    ]));
    for Case(client, region) in cases {
        let home = table.lookup(client.parse().expect("an address"));
        assert_eq!(home.known.then_some(home.region.0), region, "{client}");
        assert_eq!(
            home.preferred_domain.0 / 2,
            home.region.0,
            "site of {client} is in its region"
        );
    }
}

/// Guards against an uneven or unstable choice of sites: each block keeps its site unless the site
/// goes away.
#[test]
fn blocks_spread_and_stay() {
    let full = topology(&shape(1, 5, 1, 1), 1, &[("10.0.0.0/8", 24, 0)]);
    let mut fewer = full.clone();
    fewer.entries.pop();
    let (before, after) = (ClientTable::build(&full), ClientTable::build(&fewer));
    assert_eq!(before.block_count(), 65_536);
    let mut counts = HashMap::new();
    for block in 0..=u16::MAX {
        let [a, b] = block.to_be_bytes();
        let client = IpAddr::from([10, a, b, 7]);
        let (old, new) = (
            before.lookup(client).preferred_domain,
            after.lookup(client).preferred_domain,
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
        let mut topology = deployment(&[]);
        for (bits, prefix, region) in nets {
            let text = format!("{}.0.0.0/{prefix}", (bits << 5) & !(255u32 >> prefix));
            let net: ipnet::IpNet = text.parse().expect("a range");
            let net = net.trunc();
            let region = RegionId(region);
            topology.client_ranges.push(ClientRange { net, block_prefix: 9, region });
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
    type Ids = &'static [u16];
    /// Name, leaving, fenced and unresponsive entries, groups of equal entries in their order.
    struct Case(&'static str, Ids, Ids, Ids, &'static [Ids]);
    const OTHERS: Ids = &[1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11];
    // The client prefers domain 3 (entries 6 and 7) of region 1 (entries 4 to 7).
    let cases = [
        Case(
            "all good",
            &[],
            &[],
            &[],
            &[&[6, 7], &[4, 5], &[0, 1, 2, 3]],
        ),
        Case("leaving", &[6], &[], &[], &[&[7], &[4, 5], &[0, 1, 2, 3]]),
        Case("fenced", &[], &[4, 7], &[], &[&[6], &[5], &[0, 1, 2, 3]]),
        Case(
            "unresponsive",
            &[],
            &[],
            &[6, 4, 5],
            &[&[7], &[0, 1, 2, 3], &[8, 9, 10, 11]],
        ),
        Case("all others unresponsive", &[], &[], OTHERS, &[&[0]]),
        Case("none active", &[0], OTHERS, &[], &[&[0]]),
        Case(
            "all fenced",
            &[],
            &[0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11],
            &[],
            &[&[6, 7]],
        ),
    ];
    for Case(name, left, gone, unresponsive, expected) in cases {
        let mut config = config(deployment(&[("10.0.0.0/8", 8, 1)]), profile(100, 0.1));
        let changes = left.iter().map(|e| set_leaving(*e));
        let changes: Vec<ConfigChange> =
            changes.chain(gone.iter().map(|e| set_fenced(*e))).collect();
        changes.iter().for_each(|c| config.apply(c));
        let mut client = ClientTable::build(&config.topology).lookup([10, 0, 0, 1].into());
        client.preferred_domain = FailureDomainId(3);
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
