use crate::faulty_files::{FaultyFiles, SURVIVALS};
use mangospindle_consensus::*;
use mangospindle_storage::{FileSystem, StorageError, Wal, WalOptions};

#[derive(Clone, Copy, Debug)]
pub enum Op {
    HardState(u64),
    /// First and last position, and term.
    Append(u64, u64, u64),
    Sync,
    Save(u64, u64),
    Install(u64, u64),
}

struct Case {
    /// Which failure it guards against.
    name: &'static str,
    ops: &'static [Op],
}

const CASES: &[Case] = &[
    Case {
        name: "synced entries or votes are lost, or unsynced ones are kept out of order",
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
        name: "a replaced suffix comes back",
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
        name: "entries are missing after a snapshot has freed segments",
        ops: &[
            Op::HardState(1),
            Op::Append(1, 5, 1),
            Op::Sync,
            Op::Append(6, 12, 1),
            Op::Sync,
            Op::Save(7, 1),
            Op::Append(13, 14, 1),
            Op::Sync,
            Op::Save(13, 1),
            Op::Append(15, 15, 1),
            Op::Sync,
        ],
    },
    Case {
        name: "entries of another course of the log follow an installed snapshot",
        ops: &[
            Op::HardState(1),
            Op::Append(1, 9, 1),
            Op::Sync,
            Op::HardState(2),
            Op::Install(6, 2),
            Op::Append(7, 7, 2),
            Op::Sync,
            Op::Install(20, 2),
            Op::Append(21, 22, 2),
            Op::Sync,
        ],
    },
    Case {
        name: "entries of removed and of remaining segments are mixed after an installed snapshot",
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
            Op::Install(6, 2),
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

/// Adds the states after each record of the operation. Any of them may be found after a crash.
fn expect(states: &mut Vec<RecoveredState>, op: Op) {
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
        Op::Save(index, term) | Op::Install(index, term) => {
            let keep = matches!(op, Op::Save(..));
            state.entries.retain(|e| keep && e.index > index);
            state.snapshot = Some(snapshot(index, term));
        }
    }
    states.push(state);
}

/// Returns whether everything before is durable.
pub fn write<F: FileSystem>(wal: &mut Wal<F>, op: Op) -> Result<bool, StorageError> {
    match op {
        Op::HardState(term) => wal.save_hard_state(&hard_state(term)).map(|()| false),
        Op::Append(first, last, term) => {
            let entries: Vec<_> = (first..=last).map(|i| entry(i, term)).collect();
            wal.append(&entries).map(|()| false)
        }
        Op::Sync => wal.sync().map(|_| true),
        Op::Save(index, term) => wal.save_snapshot(&snapshot(index, term)).map(|()| true),
        Op::Install(index, term) => wal.install_snapshot(&snapshot(index, term)).map(|()| true),
    }
}

/// Runs the operations until one fails, and returns the identifier once it is durable, the states
/// that may be found, and which of them is the first that may be.
fn run(
    files: &mut FaultyFiles,
    ops: &[Op],
) -> (Option<StorageId>, Vec<RecoveredState>, usize, bool) {
    let mut states = vec![RecoveredState::default()];
    let mut durable = 0;
    let Ok((mut wal, _)) = Wal::open_with(files, OPTIONS) else {
        return (None, states, durable, false);
    };
    for op in ops {
        expect(&mut states, *op);
        match write(&mut wal, *op) {
            Ok(true) => durable = states.len() - 1,
            Ok(false) => {}
            Err(_) => {
                let later = wal.sync();
                assert!(
                    matches!(later, Err(StorageError::AlreadyFailed)),
                    "{later:?}"
                );
                return (Some(wal.storage_id()), states, durable, false);
            }
        }
    }
    (Some(wal.storage_id()), states, durable, true)
}

fn check(files: &mut FaultyFiles, case: &Case, steps: usize) -> bool {
    let (id, states, durable, done) = run(files, case.ops);
    for survival in SURVIVALS {
        // The first attempts to open are interrupted as well.
        for second in [0, 1, 2, 3, 4, 5, 6, 8, 10, usize::MAX] {
            let what = format!("{}: {steps} steps, {survival:?}, {second}", case.name);
            let mut files = files.clone();
            files.crash(survival);
            files.steps_left = second;
            if Wal::open_with(&mut files, OPTIONS).is_err() {
                files.crash(survival);
            }
            files.steps_left = usize::MAX;
            let (mut wal, found) = Wal::open_with(&mut files, OPTIONS).expect(&what);
            assert!(id.is_none_or(|id| id == wal.storage_id()), "{what}");
            assert!(states[durable..].contains(&found), "{what}: {found:?}");
            let last = found.entries.last().map(|e| e.index);
            let next = last.or(found.snapshot.map(|s| s.index)).unwrap_or(0) + 1;
            write(&mut wal, Op::Append(next, next, 9)).expect(&what);
            assert_eq!(wal.sync().expect(&what), Some((next, 9)), "{what}");
            drop(wal);
            let (_, again) = Wal::open_with(&mut files, OPTIONS).expect(&what);
            assert_eq!(again.entries.last(), Some(&entry(next, 9)), "{what}");
        }
    }
    done
}

#[test]
fn a_crash_at_any_step_keeps_what_was_synced() {
    for case in CASES {
        let done = |steps: &usize| {
            let mut files = FaultyFiles::new();
            files.steps_left = *steps;
            check(&mut files, case, *steps)
        };
        assert!((0..500).any(|steps| done(&steps)), "{}", case.name);
    }
}

/// Guards against an acknowledgement of entries for which there was no room.
#[test]
fn a_full_disk_is_reported_and_keeps_what_was_synced() {
    for case in CASES {
        let done = |bytes: &usize| {
            let mut files = FaultyFiles::new();
            files.bytes_left = *bytes;
            check(&mut files, case, *bytes)
        };
        assert!((0..400).any(|n| done(&(n * 13))), "{}", case.name);
    }
}
