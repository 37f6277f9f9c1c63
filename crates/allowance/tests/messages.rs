//! Tests of the encoding of messages and of what arrives in them.

use mangospindle_allowance::{
    AllowanceLimiter, EntryUsage, PeerUsage, PeerWorkspace, UsageReply, UsageReport, UsageTable,
    WorkspaceTotal,
};
use mangospindle_model::{Allowance, Workspace, WorkspaceTable};
use std::time::Duration;

const WORKSPACE: &str = "w";

fn table() -> WorkspaceTable {
    let allowance = Allowance {
        rate: 10.0,
        burst: 10.0,
    };
    let workspace = Workspace {
        allowance: Some(allowance),
        ..Workspace::default()
    };
    WorkspaceTable {
        workspaces: [(WORKSPACE.to_string(), workspace)].into(),
        ..WorkspaceTable::default()
    }
}

fn report(offered_rate: f32) -> UsageReport {
    UsageReport {
        entry: "vm-1".to_string(),
        incarnation: 7,
        workspaces: vec![EntryUsage {
            workspace: WORKSPACE.to_string(),
            admitted: 3,
            acknowledged: 1,
            rejected: 2,
            offered_rate,
        }],
    }
}

fn peer_usage(offered_rate: f32) -> PeerUsage {
    PeerUsage {
        replica: 2,
        incarnation: 8,
        workspaces: vec![PeerWorkspace {
            workspace: WORKSPACE.to_string(),
            admitted: 5,
            offered_rate,
        }],
    }
}

fn reply(offered_rate: f32, level: Option<f32>) -> UsageReply {
    UsageReply {
        entries: 3,
        is_complete: true,
        workspaces: vec![WorkspaceTotal {
            workspace: WORKSPACE.to_string(),
            offered_rate,
            level,
        }],
    }
}

/// Guards against entries and replicas that do not understand each other.
#[test]
fn decoded_messages_equal_the_encoded_ones() {
    let (report, usage, reply) = (report(1.5), peer_usage(2.5), reply(4.0, Some(-1.0)));
    assert_eq!(UsageReport::decode(&report.encode()), Some(Ok(report)));
    assert_eq!(PeerUsage::decode(&usage.encode()), Some(Ok(usage)));
    assert_eq!(UsageReply::decode(&reply.encode()), Ok(reply));
}

/// Guards against other requests that are taken for usage messages, and against an error for an empty one.
#[test]
fn messages_with_another_first_byte_are_left_to_others() {
    for first in (0..=u8::MAX).filter(|b| !matches!(b, 3 | 4)) {
        assert_eq!(UsageReport::decode(&[first, 0, 0]), None, "{first}");
        assert_eq!(PeerUsage::decode(&[first, 0, 0]), None, "{first}");
    }
    assert_eq!(UsageReport::decode(&[]), None);
    assert_eq!(PeerUsage::decode(&[]), None);
    assert_eq!(UsageReport::decode(&peer_usage(1.0).encode()), None);
    assert_eq!(PeerUsage::decode(&report(1.0).encode()), None);
    UsageReply::decode(&[]).expect_err("an earlier build replies with nothing");
}

/// Guards against a panic, or a limiter or table that panics later, after a truncated or damaged message.
#[test]
fn damaged_messages_are_harmless() {
    let messages = [
        report(1.5).encode(),
        peer_usage(2.5).encode(),
        reply(4.0, Some(-1.0)).encode(),
    ];
    for message in &messages {
        for length in 0..message.len() {
            feed(&message[..length]);
        }
        for position in 0..message.len() {
            for byte in 0..=u8::MAX {
                let mut damaged = message.clone();
                damaged[position] = byte;
                feed(&damaged);
            }
        }
    }
}

/// Decodes a message as each kind and applies it.
fn feed(message: &[u8]) {
    let now = Duration::from_secs(1);
    let (mut limiter, mut replica) = (limiter(), replica());
    if let Some(Ok(report)) = UsageReport::decode(message) {
        replica.respond(now, &report, 3);
    }
    if let Some(Ok(usage)) = PeerUsage::decode(message) {
        replica.record_peer(now, &usage);
    }
    if let Ok(reply) = UsageReply::decode(message) {
        let _ = limiter.admit(now, WORKSPACE);
        limiter.apply_reply(now, &limiter.report(now), &reply);
    }
    let _ = limiter.admit(now, WORKSPACE);
    limiter.report(now).encode();
    replica.peer_usage(now).encode();
    replica.status(now);
}

fn limiter() -> AllowanceLimiter {
    let mut limiter = AllowanceLimiter::new("vm-1".to_string(), 7);
    limiter.set_limits(Duration::ZERO, &table());
    limiter
}

fn replica() -> UsageTable {
    let mut replica = UsageTable::new(1, 9);
    replica.set_limits(Duration::ZERO, &table());
    replica
}

/// Rates and levels that are no numbers, or none that can be right.
const INVALID: [f32; 6] = [
    f32::NAN,
    f32::INFINITY,
    f32::NEG_INFINITY,
    -1.0,
    f32::MIN,
    f32::MAX,
];

/// Guards against totals that a single message makes useless for all entries.
#[test]
fn invalid_rates_do_not_reach_the_totals() {
    let now = Duration::from_secs(5);
    for rate in INVALID.into_iter().filter(|r| *r != f32::MAX) {
        let mut replica = replica();
        replica.record_peer(now, &peer_usage(rate));
        let reply = replica.respond(now, &report(rate), 3);
        let total = &reply.workspaces[0];
        assert_eq!(total.offered_rate, 0.0, "{rate}");
        assert!(total.level.is_some_and(f32::is_finite), "{rate}");
    }
}

/// Guards against an entry that a reply with invalid numbers, or without entries, unlimits or blocks for good.
#[test]
fn invalid_totals_neither_lift_the_limit_nor_block() {
    let totals = INVALID.into_iter().flat_map(|rate| {
        INVALID
            .map(|level| reply(rate, Some(level)))
            .into_iter()
            .chain([reply(rate, None)])
    });
    for entries in [0, 3] {
        for total in totals.clone().map(|t| UsageReply { entries, ..t }) {
            let mut limiter = limiter();
            let mut now = Duration::from_secs(1);
            limiter.apply_reply(now, &limiter.report(now), &total);
            let burst = (0..1000)
                .filter(|_| limiter.admit(now, WORKSPACE).is_ok())
                .count();
            // The bucket, its tolerance for batches and what an entry may borrow.
            assert!(burst <= 40, "{burst} at once after {total:?}");
            now += Duration::from_secs(1);
            limiter.apply_reply(now, &limiter.report(now), &reply(1.0, Some(10.0)));
            now += Duration::from_secs(1);
            limiter
                .admit(now, WORKSPACE)
                .unwrap_or_else(|e| panic!("{e:?} after {total:?}"));
        }
    }
}

/// Guards against callers that all return at once: those rejected later are told to return later.
#[test]
fn requests_rejected_later_are_told_a_later_time() {
    let mut limiter = limiter();
    let now = Duration::from_secs(1);
    limiter.apply_reply(now, &limiter.report(now), &reply(20.0, Some(0.0)));
    let _ = limiter.admit(now, WORKSPACE);
    limiter.apply_reply(now, &limiter.report(now), &reply(2.0, Some(0.0)));
    let times = (0..30).filter_map(|_| limiter.admit(now, WORKSPACE).err());
    let times: Vec<Duration> = times.collect();
    assert!(times.is_sorted(), "{times:?}");
    let shortest = times.first().expect("a rejection");
    let longest = times.last().expect("a rejection");
    assert!(*shortest >= Duration::from_millis(20), "{times:?}");
    assert!(*longest <= Duration::from_secs(5), "{times:?}");
    assert!(*longest > 2 * *shortest, "{times:?}");
}
