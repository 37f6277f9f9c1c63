use crate::support::*;
use mangospindle_state::{AuditChange, ChangesSince, CommandKind, DecodeError, State};
use sha2::{Digest, Sha256};

/// Returns a replica whose snapshot has content in every field.
fn populated_replica() -> TestReplica {
    let mut replica = TestReplica::new();
    replica.propose("", entry_join(3, 1));
    replica.propose("", entry_join(3, 2));
    let actions = ["give-up", "unknown", "complete", ""];
    for (i, action) in actions.iter().enumerate() {
        let (key, attempt) = (claim_key(["k", "l", "m", "n"][i]), attempt(3, 2, i as u64));
        replica.propose("", claim(&key, i as u8, attempt));
        let end = match i {
            3 => CommandKind::Expire,
            _ => end_claim(action, &key, attempt, 3),
        };
        replica.propose("", end);
    }
    replica.advance_time(25 * 3_600_000);
    replica.propose("r1", put_profile("n", 1, 0));
    replica.propose("r2", put_profile("n", 1, 0));
    replica.propose("r3", delete_profile("n", 1));
    replica
}

/// Returns a replica whose snapshot also has workspaces, and records of changes of them.
fn replica_with_workspaces() -> TestReplica {
    let mut replica = populated_replica();
    replica.propose("r4", put_workspaces(1, workspace_table(1)));
    replica.propose("r5", put_workspaces(2, workspace_table(2)));
    replica
}

/// Guards against a panic or a wrong state after decoding a damaged file, and against a changed
/// layout under the same format number. If a digest changes, its format needs a new number.
#[test]
fn snapshot_formats_are_stable_and_checked() {
    struct Case {
        name: &'static str,
        replica: TestReplica,
        format: u8,
        digest: &'static str,
    }
    let cases = [
        Case {
            name: "without workspaces",
            replica: populated_replica(),
            format: 2,
            digest: "9e80c02a60a07da5",
        },
        Case {
            name: "with workspaces",
            replica: replica_with_workspaces(),
            format: 3,
            digest: "9c5a2d524e68cf66",
        },
    ];
    for case in cases {
        let bytes = case.replica.state.encode();
        assert_eq!(bytes[0], case.format, "{}", case.name);
        check_damaged_snapshots(case.name, &bytes);
        let digest = format!("{:x}", Sha256::digest(&bytes));
        assert_eq!(&digest[..16], case.digest, "{}", case.name);
    }
}

fn check_damaged_snapshots(name: &str, bytes: &[u8]) {
    let mut unknown_format = bytes.to_vec();
    unknown_format[0] = 99;
    assert_eq!(
        State::decode(&unknown_format).err(),
        Some(DecodeError::UnknownFormat(99))
    );
    let mut with_trailing_byte = bytes.to_vec();
    with_trailing_byte.push(0);
    assert!(matches!(
        State::decode(&with_trailing_byte),
        Err(DecodeError::Malformed(_))
    ));
    for end in 0..bytes.len() {
        assert!(
            State::decode(&bytes[..end]).is_err(),
            "{name}: a snapshot truncated to {end} bytes was decoded"
        );
    }
    for i in 0..bytes.len() {
        let mut damaged = bytes.to_vec();
        damaged[i] ^= 0x55;
        // Some damage results in another valid snapshot. The checksum of the file detects that.
        let _ = State::decode(&damaged);
    }
}

/// Guards against a snapshot that loses its workspaces, or is read as one of the other format.
#[test]
fn snapshot_formats_are_not_taken_for_each_other() {
    let state = replica_with_workspaces().state;
    let bytes = state.encode();
    let restored = State::decode(&bytes).unwrap();
    assert_eq!(restored.config(), state.config());
    assert!(!restored.config().routes.workspaces.is_empty());
    for (format, bytes) in [(2, bytes), (3, populated_replica().state.encode())] {
        let mut other_format = bytes;
        other_format[0] = format;
        let result = State::decode(&other_format);
        let is_malformed = matches!(result, Err(DecodeError::Malformed(_)));
        assert!(is_malformed, "format {format}");
    }
}

/// Guards against gaps or duplicates in the changes for watchers and in the pages of the audit
/// trail, and against an audit trail that grows without bound.
#[test]
fn change_history_and_audit_pages_are_complete() {
    const CHANGES: u64 = 12_000;
    let mut replica = TestReplica::new();
    let mut watcher_config = replica.state.config().clone();
    for i in 1..=CHANGES {
        replica.propose(&format!("r{i}"), put_profile("p", i as u32, i));
        if i % 3_000 == 0 {
            match replica.state.changes_since(watcher_config.version) {
                ChangesSince::Changes(changes) => {
                    changes.iter().for_each(|c| watcher_config.apply(c))
                }
                ChangesSince::Full(_) => panic!("the change history has fewer than 3,000 changes"),
            }
            assert_eq!(&watcher_config, replica.state.config());
        }
    }
    let state = &replica.state;
    assert_eq!(
        state.changes_since(CHANGES + 1),
        ChangesSince::Changes(vec![])
    );
    for other in [1, CHANGES + 2] {
        assert!(matches!(state.changes_since(other), ChangesSince::Full(_)));
    }
    let first = state.audit(0, 7);
    assert_eq!(
        (first.first_available, first.last),
        (CHANGES - 9_998, CHANGES + 1)
    );
    let (mut after, mut sequences) = (0, Vec::new());
    loop {
        let page = state.audit(after, 999);
        let Some(last) = page.records.last() else {
            break;
        };
        after = last.sequence;
        for record in &page.records {
            assert_eq!(
                (record.sequence, record.version),
                (record.index, record.index)
            );
            match &record.change {
                AuditChange::Config {
                    before: Some(before),
                    ..
                } => assert_ne!(format!("{before:?}"), ""),
                other => panic!("unexpected audit record {other:?}"),
            }
        }
        sequences.extend(page.records.iter().map(|r| r.sequence));
    }
    assert!(
        sequences
            .iter()
            .copied()
            .eq(first.first_available..=first.last)
    );
}
