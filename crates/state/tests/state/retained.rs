//! Tests of the limits of past changes: the audit trail, the change history and the snapshot.

use crate::support::*;
use mangospindle_model::{EndpointService, Route, RouteKey, RouteTable, RouteTarget};
use mangospindle_state::{ChangesSince, CommandKind, EncodedAuditRecord, Outcome, State};
use std::time::Duration;

/// Maximum size of the audit trail in the state and in a snapshot, in bytes.
const MAX_TRAIL_BYTES: usize = 4 << 20;

/// Maximum size of the changes in a reply to a watcher, in bytes.
const MAX_REPLY_BYTES: usize = 1 << 20;

/// Size of a snapshot without past changes, in bytes: the topology, the table and its document.
const MAX_CURRENT_BYTES: usize = 256 << 10;

fn put_large_table(number: u64, routes: usize) -> CommandKind {
    let service = EndpointService {
        health_path: "/health".to_string(),
        max_connections: 330,
        cold_start: Duration::from_secs(3),
        cold_rate: 5.0,
    };
    let route = |n: usize| Route {
        name: format!("r-{n:05}"),
        idempotent: true,
        // Each table changes all routes.
        timeout: Some(Duration::from_millis(2_000 + number)),
        target_latency: Duration::from_millis(400),
        attempts: 2,
        priority: 1,
        targets: vec![RouteTarget {
            service: "s".to_string(),
            weight: 1,
        }],
        sticky: true,
        home_regions: Vec::new(),
    };
    let key = |n: usize| RouteKey {
        host: "shop.example".to_string(),
        prefix: format!("/p{n:05}/"),
    };
    CommandKind::PutRoutes {
        table: Box::new(RouteTable {
            number,
            services: [("s".to_string(), service)].into(),
            routes: (0..routes).map(|n| (key(n), route(n))).collect(),
            ..RouteTable::default()
        }),
        document: format!("{number:08x}{}", "x".repeat(routes * 100)),
    }
}

fn put_large_tables(replica: &mut TestReplica, numbers: std::ops::RangeInclusive<u64>) {
    for number in numbers {
        let outcome = replica.propose("", put_large_table(number, 350));
        assert!(matches!(outcome, Outcome::Done { .. }), "{outcome:?}");
    }
}

/// Size of the changes that a watcher with an older version receives, in bytes.
fn reply_bytes(state: &State, version: u64) -> Option<usize> {
    match state.changes_since(version) {
        ChangesSince::Full(_) => None,
        ChangesSince::Changes(changes) => Some(
            postcard::to_stdvec(&changes)
                .expect("changes can be encoded")
                .len(),
        ),
    }
}

/// Guards against past changes that fill the memory of a replica, its snapshots and its replies,
/// because they are limited by their number and not by their size (review/6).
#[test]
fn past_changes_have_a_limit_in_bytes() {
    let mut replica = TestReplica::new();
    let first_version = replica.state.config().version;
    for round in 0..3 {
        put_large_tables(&mut replica, 1 + 100 * round..=100 * (round + 1));
        let state = &replica.state;
        let snapshot = state.encode();
        assert!(
            snapshot.len() <= MAX_TRAIL_BYTES + MAX_CURRENT_BYTES,
            "round {round}: the snapshot has {} bytes",
            snapshot.len()
        );
        let replies: Vec<_> = (first_version..state.config().version)
            .rev()
            .step_by(3)
            .map(|version| reply_bytes(state, version))
            .collect();
        let largest = replies.iter().flatten().max();
        assert!(
            largest.is_some_and(|bytes| *bytes <= MAX_REPLY_BYTES),
            "round {round}: the largest reply to a watcher has {largest:?} bytes"
        );
        // A watcher that is only slightly behind still receives differences.
        assert!(replies[..3].iter().all(Option::is_some));
        let retained = state.retained_bytes();
        assert!(retained.audit_trail <= MAX_TRAIL_BYTES, "{retained:?}");
        assert!(retained.change_history <= MAX_REPLY_BYTES, "{retained:?}");
        let restored = State::decode(&snapshot).expect("the snapshot of a state is valid");
        assert_eq!(restored.retained_bytes().audit_trail, retained.audit_trail);
        assert_eq!(restored.audit(0, 1_000), state.audit(0, 1_000));
    }
}

/// Guards against an audit trail without its newest record, which could then not be exported.
#[test]
fn newest_record_is_kept_even_if_it_is_larger_than_the_trail() {
    let mut replica = TestReplica::new();
    put_large_tables(&mut replica, 1..=3);
    let before = replica.state.audit(0, 1).last;
    replica.propose("", put_large_table(4, 80_000));
    let page = replica.state.audit(before, 10);
    assert_eq!(page.records.len(), 1);
    assert_eq!((page.first_available, page.last), (before + 1, before + 1));
    assert!(replica.state.retained_bytes().audit_trail > MAX_TRAIL_BYTES);
    // The change does not fit into the history, so watchers receive the configuration.
    let previous = replica.state.config().version - 1;
    assert_eq!(reply_bytes(&replica.state, previous), None);
}

/// Guards against pages of the audit trail that grow with the size of the records, and against records
/// that a reader who follows the pages does not see.
#[test]
fn pages_of_large_records_are_bounded_and_complete() {
    let mut replica = TestReplica::new();
    put_large_tables(&mut replica, 1..=100);
    let state = &replica.state;
    let (mut after, mut pages) = (0, 0);
    let first = state.audit(0, 0).first_available;
    loop {
        let page = state.audit(after, 1_000);
        let Some(newest) = page.records.last() else {
            break;
        };
        let bytes: usize = (page.records.iter())
            .map(|r| EncodedAuditRecord::from(r).as_bytes().len())
            .sum();
        assert!(bytes <= 1 << 20, "a page has {bytes} bytes");
        assert_eq!(page.records[0].sequence, first.max(after + 1));
        after = newest.sequence;
        pages += 1;
    }
    assert_eq!(after, state.audit(0, 0).last);
    assert!(pages > 1);
}

/// Guards against a replica that takes the whole audit trail of the build before into its memory when it
/// reads its old snapshot or gets one from a leader of that build, and against replicas of the two
/// builds whose outcomes or sequence numbers differ.
#[test]
fn trail_of_an_earlier_build_is_limited_when_it_is_read() {
    let mut replica = TestReplica::new();
    // An earlier build would hold all records.
    let mut all_records = replica.state.encoded_audit(0, usize::MAX);
    for number in 1..=300 {
        let last = replica.state.audit(0, 0).last;
        put_large_tables(&mut replica, number..=number);
        all_records.extend(replica.state.encoded_audit(last, usize::MAX));
    }
    let retained = replica.state.encoded_audit(0, usize::MAX);
    assert!(retained.len() < all_records.len());
    let bytes = replica.state.encode();
    let old_bytes = replace_once(&bytes, &sequence(&retained), &sequence(&all_records));
    assert!(old_bytes.len() > 2 * MAX_TRAIL_BYTES);
    let mut restored = State::decode(&old_bytes).expect("the snapshot is valid");
    assert_eq!(restored.encode(), bytes);
    assert_eq!(
        restored.retained_bytes().audit_trail,
        replica.state.retained_bytes().audit_trail
    );
    let next = replica.new_command("", put_large_table(301, 350));
    let index = restored.applied_index() + 1;
    assert_eq!(
        restored.apply(index, &next),
        replica.state.apply(index, &next)
    );
    assert_eq!(restored.audit(0, 1_000), replica.state.audit(0, 1_000));
}

/// Encodes records as a sequence in a snapshot.
fn sequence(records: &[EncodedAuditRecord]) -> Vec<u8> {
    let mut bytes = postcard::to_stdvec(&records.len()).expect("a number can be encoded");
    records.iter().for_each(|r| bytes.extend(r.as_bytes()));
    bytes
}

fn replace_once(bytes: &[u8], old: &[u8], new: &[u8]) -> Vec<u8> {
    let mut places = (0..bytes.len() - old.len()).filter(|at| bytes[*at..].starts_with(old));
    let at = places.next().expect("the snapshot has the records");
    assert_eq!(places.next(), None);
    [&bytes[..at], new, &bytes[at + old.len()..]].concat()
}
