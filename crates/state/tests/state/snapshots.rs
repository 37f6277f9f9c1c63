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

/// Guards against a panic or a wrong state after decoding a damaged file, and against a changed
/// layout under the same format number. If the digest changes, `SNAPSHOT_FORMAT` needs a new value.
#[test]
fn snapshot_format_is_stable_and_checked() {
    let bytes = populated_replica().state.encode();
    let mut unknown_format = bytes.clone();
    unknown_format[0] = 99;
    assert_eq!(
        State::decode(&unknown_format).err(),
        Some(DecodeError::UnknownFormat(99))
    );
    let mut with_trailing_byte = bytes.clone();
    with_trailing_byte.push(0);
    assert!(matches!(
        State::decode(&with_trailing_byte),
        Err(DecodeError::Malformed(_))
    ));
    for end in 0..bytes.len() {
        assert!(
            State::decode(&bytes[..end]).is_err(),
            "a snapshot truncated to {end} bytes was decoded"
        );
    }
    for i in 0..bytes.len() {
        let mut damaged = bytes.clone();
        damaged[i] ^= 0x55;
        // Some damage results in another valid snapshot. The checksum of the file detects that.
        let _ = State::decode(&damaged);
    }
    let digest = format!("{:x}", Sha256::digest(&bytes));
    assert_eq!(&digest[..16], "9e80c02a60a07da5");
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
                    changes.into_iter().for_each(|c| watcher_config.apply(c))
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
