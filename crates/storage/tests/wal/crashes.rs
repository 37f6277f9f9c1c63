use crate::faulty_file_system::{CRASH_OUTCOMES, FaultyFileSystem, UnsyncedData};
use mangospindle_consensus::*;
use mangospindle_storage::{FileSystem, StorageError, Wal, WalOptions};

/// A call of a method of [`Wal`].
#[derive(Clone, Copy, Debug)]
pub enum Op {
    HardState(u64),
    /// First and last index, and term.
    Append(u64, u64, u64),
    Sync,
    /// Index and term.
    SaveSnapshot(u64, u64),
    /// Index and term.
    InstallSnapshot(u64, u64),
}

struct Case {
    /// The failure that the case guards against.
    name: &'static str,
    ops: &'static [Op],
}

const CASES: &[Case] = &[
    Case {
        name: "synced entries or votes are lost, or unsynced ones are recovered out of order",
        ops: &[
            Op::HardState(1),
            Op::Append(1, 3, 1),
            Op::Sync,
            Op::Append(4, 6, 1),
            Op::HardState(2),
            Op::Append(7, 8, 2),
            Op::Sync,
        ],
    },
    Case {
        name: "entries that were replaced by a conflicting suffix reappear",
        ops: &[
            Op::HardState(1),
            Op::Append(1, 6, 1),
            Op::Sync,
            Op::HardState(2),
            Op::Append(3, 4, 2),
            Op::Sync,
            Op::Append(5, 5, 2),
            Op::Sync,
        ],
    },
    Case {
        name: "entries are missing after a snapshot removed segments",
        ops: &[
            Op::HardState(1),
            Op::Append(1, 5, 1),
            Op::Sync,
            Op::Append(6, 12, 1),
            Op::Sync,
            Op::SaveSnapshot(7, 1),
            Op::Append(13, 14, 1),
            Op::Sync,
            Op::SaveSnapshot(13, 1),
            Op::Append(15, 15, 1),
            Op::Sync,
        ],
    },
    Case {
        name: "entries of a conflicting log follow an installed snapshot",
        ops: &[
            Op::HardState(1),
            Op::Append(1, 9, 1),
            Op::Sync,
            Op::HardState(2),
            Op::InstallSnapshot(6, 2),
            Op::Append(7, 7, 2),
            Op::Sync,
            Op::InstallSnapshot(20, 2),
            Op::Append(21, 22, 2),
            Op::Sync,
        ],
    },
    Case {
        name: "entries of removed and remaining segments are mixed after an installed snapshot",
        ops: &[
            Op::HardState(1),
            Op::Append(1, 4, 1),
            Op::Sync,
            Op::Append(5, 6, 1),
            Op::Sync,
            Op::Append(7, 8, 1),
            Op::Sync,
            Op::Append(9, 10, 1),
            Op::Sync,
            Op::InstallSnapshot(6, 2),
            Op::Append(7, 7, 2),
            Op::Sync,
        ],
    },
];

pub const OPTIONS: WalOptions = WalOptions { segment_bytes: 200 };

fn entry(index: u64, term: u64) -> Entry {
    let payload = match index % 3 {
        0 => Payload::Noop,
        1 => Payload::Command(vec![7; index as usize * 5]),
        _ => Payload::Membership(membership()),
    };
    Entry {
        index,
        term,
        payload,
    }
}

fn membership() -> Membership {
    Membership {
        voters: vec![Member {
            replica: ReplicaId(3),
            storage: StorageId(uuid::Uuid::from_u128(9)),
        }],
        learners: Vec::new(),
    }
}

fn snapshot(index: u64, term: u64) -> Snapshot {
    Snapshot {
        index,
        term,
        membership: membership(),
        data: vec![1, 2, 3],
    }
}

fn hard_state(term: u64) -> HardState {
    let voters = membership().voters;
    HardState {
        term,
        voted_for: voters.first().copied(),
        formation: Some(Formation {
            ballot: term,
            voters,
            complete: true,
        }),
    }
}

/// Appends the state after each record that the operation writes. A crash during the operation may
/// leave any of them.
fn push_expected_states(states: &mut Vec<RecoveredState>, op: Op) {
    let mut state = states.last().cloned().unwrap_or_default();
    match op {
        Op::HardState(term) => state.hard_state = hard_state(term),
        Op::Append(first, last, term) => {
            for index in first..=last {
                state.entries.retain(|e| e.index < index);
                state.entries.push(entry(index, term));
                states.push(state.clone());
            }
        }
        Op::Sync => {}
        Op::SaveSnapshot(index, term) | Op::InstallSnapshot(index, term) => {
            let keeps_later_entries = matches!(op, Op::SaveSnapshot(..));
            state
                .entries
                .retain(|e| keeps_later_entries && e.index > index);
            state.snapshot = Some(snapshot(index, term));
        }
    }
    states.push(state);
}

/// Runs an operation. Returns whether everything written up to its end is durable.
pub fn run_op<F: FileSystem>(wal: &mut Wal<F>, op: Op) -> Result<bool, StorageError> {
    match op {
        Op::HardState(term) => wal.save_hard_state(&hard_state(term)).map(|()| false),
        Op::Append(first, last, term) => {
            let entries: Vec<_> = (first..=last).map(|i| entry(i, term)).collect();
            wal.append(&entries).map(|()| false)
        }
        Op::Sync => wal.sync().map(|_| true),
        Op::SaveSnapshot(index, term) => wal.save_snapshot(&snapshot(index, term)).map(|()| true),
        Op::InstallSnapshot(index, term) => {
            wal.install_snapshot(&snapshot(index, term)).map(|()| true)
        }
    }
}

/// Runs the operations until one fails.
///
/// Returns the storage identifier if it is durable, the state after each written record, the
/// position of the first of these states that a crash may leave, and whether all operations
/// succeeded.
fn run_until_failure(
    file_system: &mut FaultyFileSystem,
    ops: &[Op],
) -> (Option<StorageId>, Vec<RecoveredState>, usize, bool) {
    let mut states = vec![RecoveredState::default()];
    let mut first_possible = 0;
    let Ok((mut wal, _)) = Wal::open_with(file_system, OPTIONS) else {
        return (None, states, first_possible, false);
    };
    for op in ops {
        push_expected_states(&mut states, *op);
        match run_op(&mut wal, *op) {
            Ok(true) => first_possible = states.len() - 1,
            Ok(false) => {}
            Err(_) => {
                let sync_result = wal.sync();
                assert!(
                    matches!(sync_result, Err(StorageError::AlreadyFailed)),
                    "{sync_result:?}"
                );
                return (Some(wal.storage_id()), states, first_possible, false);
            }
        }
    }
    (Some(wal.storage_id()), states, first_possible, true)
}

/// Checks the recovery from a crash after the operations of a case, with each outcome of the crash
/// and with a second crash during recovery. Returns whether all operations succeeded.
fn check_recovery(file_system: &mut FaultyFileSystem, case: &Case, limit: usize) -> bool {
    let (id, states, first_possible, succeeded) = run_until_failure(file_system, case.ops);
    for unsynced in CRASH_OUTCOMES {
        // The first attempt to open the directory fails after this number of operations.
        for recovery_limit in [0, 1, 2, 3, 4, 5, 6, 8, 10, usize::MAX] {
            let context = format!(
                "{}: limit {limit}, {unsynced:?}, recovery limit {recovery_limit}",
                case.name
            );
            let mut file_system = file_system.clone();
            file_system.crash(unsynced);
            file_system.operations_left = recovery_limit;
            if Wal::open_with(&mut file_system, OPTIONS).is_err() {
                file_system.crash(unsynced);
            }
            file_system.operations_left = usize::MAX;
            let (mut wal, found) = Wal::open_with(&mut file_system, OPTIONS).expect(&context);
            assert!(id.is_none_or(|id| id == wal.storage_id()), "{context}");
            assert!(
                states[first_possible..].contains(&found),
                "{context}: {found:?}"
            );
            let last = found.entries.last().map(|e| e.index);
            let next_index = last.or(found.snapshot.map(|s| s.index)).unwrap_or(0) + 1;
            run_op(&mut wal, Op::Append(next_index, next_index, 9)).expect(&context);
            assert_eq!(
                wal.sync().expect(&context),
                Some((next_index, 9)),
                "{context}"
            );
            drop(wal);
            let (_, recovered) = Wal::open_with(&mut file_system, OPTIONS).expect(&context);
            assert_eq!(
                recovered.entries.last(),
                Some(&entry(next_index, 9)),
                "{context}"
            );
        }
    }
    succeeded
}

/// Guards against the loss of synced data, and against a directory that cannot be opened, when the
/// process is killed at any file operation.
#[test]
fn synced_data_survives_a_crash_at_any_operation() {
    for case in CASES {
        let succeeds = |limit: &usize| {
            let mut file_system = FaultyFileSystem::new();
            file_system.operations_left = *limit;
            check_recovery(&mut file_system, case, *limit)
        };
        assert!((0..500).any(|limit| succeeds(&limit)), "{}", case.name);
    }
}

/// Guards against the acknowledgement of entries that did not fit on the disk.
#[test]
fn a_full_disk_is_reported_and_synced_data_survives() {
    for case in CASES {
        let succeeds = |bytes: &usize| {
            let mut file_system = FaultyFileSystem::new();
            file_system.bytes_left = *bytes;
            check_recovery(&mut file_system, case, *bytes)
        };
        assert!((0..400).any(|n| succeeds(&(n * 13))), "{}", case.name);
    }
}

/// Guards against a replica that recovers from a failed sync without a restart, acknowledges what it read
/// back, and loses it at a power loss because no sync ever wrote it.
#[test]
fn data_read_back_after_a_failed_sync_survives_a_crash() {
    for case in CASES {
        let mut failures = 0;
        for limit in 0..40 {
            let mut file_system = FaultyFileSystem::new();
            file_system.syncs_left = limit;
            let (id, states, first_possible, succeeded) =
                run_until_failure(&mut file_system, case.ops);
            failures += usize::from(!succeeded && id.is_some());
            file_system.syncs_left = usize::MAX;
            let context = format!("{}: sync {limit}", case.name);
            let (_, found) = Wal::open_with(&mut file_system, OPTIONS).expect(&context);
            assert!(states[first_possible..].contains(&found), "{context}");
            file_system.crash(UnsyncedData::Lost);
            let (_, recovered) = Wal::open_with(&mut file_system, OPTIONS).expect(&context);
            assert_eq!(recovered, found, "{context}");
        }
        assert!(failures > 0, "{}: no sync failed", case.name);
    }
}
