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
    topology(&uniform_shape(3, 2, 2, 1), 1, ranges)
}

/// Guards against a match of a shorter prefix, or no match, at the boundaries of nested ranges.
#[test]
fn longest_prefix_wins() {
    /// Client address, and its region if a range contains it.
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
        let home = table.lookup(client.parse().expect("valid address"));
        assert_eq!(home.known.then_some(home.region.0), region, "{client}");
        assert_eq!(
            home.preferred_domain.0 / 2,
            home.region.0,
            "preferred failure domain of {client} must be in its region"
        );
    }
}

/// Guards against an uneven or unstable choice of preferred failure domains. When a failure domain
/// loses its only entry, only the blocks that preferred it may change.
#[test]
fn blocks_are_spread_evenly_and_keep_their_domain() {
    let topology_before = topology(&uniform_shape(1, 5, 1, 1), 1, &[("10.0.0.0/8", 24, 0)]);
    let mut topology_after = topology_before.clone();
    topology_after.entries.pop();
    let (before, after) = (
        ClientTable::build(&topology_before),
        ClientTable::build(&topology_after),
    );
    assert_eq!(before.block_count(), 65_536);
    let mut blocks_by_domain = HashMap::new();
    for block in 0..=u16::MAX {
        let [a, b] = block.to_be_bytes();
        let client = IpAddr::from([10, a, b, 7]);
        let (domain_before, domain_after) = (
            before.lookup(client).preferred_domain,
            after.lookup(client).preferred_domain,
        );
        *blocks_by_domain.entry(domain_before).or_insert(0) += 1;
        assert!(domain_before == domain_after || domain_before == FailureDomainId(4));
    }
    assert!(
        blocks_by_domain
            .values()
            .all(|n| (12_000..14_200).contains(n)),
        "{blocks_by_domain:?}"
    );
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, ..Default::default() })]

    /// Guards against errors in flattening nested ranges, by comparison with a linear search.
    #[test]
    fn table_matches_linear_search(
        nets in prop::collection::vec((0..8u32, 0..=8u8, 0..3u16), 0..12),
        clients in prop::collection::vec(any::<u8>(), 1..50),
    ) {
        let mut topology = deployment(&[]);
        for (bits, prefix, region) in nets {
            let cidr = format!("{}.0.0.0/{prefix}", (bits << 5) & !(255u32 >> prefix));
            let net: ipnet::IpNet = cidr.parse().expect("valid client range");
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

/// Guards against entries in the list that cannot serve requests, lists with entries of the
/// preferred failure domain only, and empty lists.
#[test]
fn lookup_order() {
    type Ids = &'static [u16];
    /// Name, leaving, fenced and unresponsive entries, and the expected groups of equally good
    /// entries in order.
    struct Case(&'static str, Ids, Ids, Ids, &'static [Ids]);
    const OTHERS: Ids = &[1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11];
    // The client prefers failure domain 3 (entries 6 and 7) in region 1 (entries 4 to 7).
    let cases = [
        Case(
            "all available",
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
    for Case(name, leaving_ids, fenced_ids, unresponsive_ids, expected) in cases {
        let mut config = config(deployment(&[("10.0.0.0/8", 8, 1)]), profile(100, 0.1));
        let changes = leaving_ids.iter().map(|e| set_leaving(*e));
        let changes: Vec<ConfigChange> = changes
            .chain(fenced_ids.iter().map(|e| set_fenced(*e)))
            .collect();
        changes.iter().for_each(|c| config.apply(c));
        let mut client = ClientTable::build(&config.topology).lookup([10, 0, 0, 1].into());
        client.preferred_domain = FailureDomainId(3);
        let mut router = Router::new(EntryId(0), 1);
        router.update_config(Duration::ZERO, Arc::new(config));
        for entry in unresponsive_ids {
            (0..3).for_each(|_| router.observe_probe(EntryId(*entry), None));
        }
        let mut first_counts = HashMap::new();
        for block in 0..200 {
            client.block = block;
            let list: Vec<u16> = router
                .lookup(&client, SERVICE)
                .iter()
                .map(|e| e.0)
                .collect();
            assert!(list.len() <= MAX_LOOKUP_ENTRIES);
            let mut rest = &list[..];
            for group in expected {
                let (head, tail) = rest.split_at(group.len().min(rest.len()));
                assert!(head.iter().all(|e| group.contains(e)), "{name}: {list:?}");
                rest = tail;
            }
            *first_counts.entry(list[0]).or_insert(0) += 1;
        }
        let expected_count = 200 / expected[0].len();
        assert!(
            first_counts.values().all(|n| *n > expected_count * 2 / 3),
            "{name}: {first_counts:?}"
        );
    }
}
