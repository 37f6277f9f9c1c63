use crate::crashes::{OPTIONS, Op, run_op};
use mangospindle_storage::{Corruption, StorageError, Wal};
use std::{fs, path::Path};

/// A change of a file while the directory is closed.
enum FileFault {
    None,
    /// Inverts the byte at this offset, in percent of the length of the file.
    InvertByte(usize),
    /// Truncates the file to this percentage of its length.
    Truncate(usize),
    /// Appends the first 20 bytes of the file, which form an incomplete record.
    TornWrite,
    Remove,
}

struct Case {
    /// The failure that the case guards against.
    name: &'static str,
    /// Prefix of the name of the file to change.
    file: &'static str,
    /// Whether to change the last file with the prefix, by name. Otherwise the second one changes.
    last: bool,
    fault: FileFault,
    /// Matches the reported corruption. `None` if the directory opens.
    is_expected: Option<fn(&Corruption) -> bool>,
}

const CASES: &[Case] = &[
    Case {
        name: "an intact directory is rejected",
        file: "wal-",
        last: true,
        fault: FileFault::None,
        is_expected: None,
    },
    Case {
        name: "a torn write at the end of the log is rejected",
        file: "wal-",
        last: true,
        fault: FileFault::TornWrite,
        is_expected: None,
    },
    Case {
        name: "a changed byte in an earlier segment is treated as a torn write",
        file: "wal-",
        last: false,
        fault: FileFault::InvertByte(50),
        is_expected: Some(|c| *c == Corruption::Checksum),
    },
    Case {
        name: "a changed byte before later synced records is treated as a torn write",
        file: "wal-",
        last: true,
        fault: FileFault::InvertByte(40),
        is_expected: Some(|c| *c == Corruption::Checksum),
    },
    Case {
        name: "a truncated earlier segment goes unnoticed",
        file: "wal-",
        last: false,
        fault: FileFault::Truncate(70),
        is_expected: Some(|c| *c == Corruption::Checksum),
    },
    Case {
        name: "a missing segment goes unnoticed",
        file: "wal-",
        last: false,
        fault: FileFault::Remove,
        is_expected: Some(|c| matches!(c, Corruption::UnexpectedSequence { .. })),
    },
    Case {
        name: "a corrupted snapshot is recovered",
        file: "snapshot-",
        last: true,
        fault: FileFault::InvertByte(60),
        is_expected: Some(|c| *c == Corruption::Checksum),
    },
    Case {
        name: "a missing snapshot goes unnoticed",
        file: "snapshot-",
        last: true,
        fault: FileFault::Remove,
        is_expected: Some(|c| *c == Corruption::MissingFile),
    },
    Case {
        name: "a directory with entries gets a new identity",
        file: "identity",
        last: true,
        fault: FileFault::Remove,
        is_expected: Some(|c| *c == Corruption::MissingFile),
    },
];

fn inject_fault(path: &Path, case: &Case) {
    let names = fs::read_dir(path).expect("the directory is readable");
    let mut names: Vec<_> = names
        .map(|e| e.expect("the directory entry is readable").path())
        .collect();
    names.sort();
    let has_prefix = |p: &&std::path::PathBuf| {
        let name = p
            .file_name()
            .expect("the path has a file name")
            .to_string_lossy();
        name.starts_with(case.file)
    };
    let mut names = names.iter().filter(has_prefix);
    let file = if case.last {
        names.next_back()
    } else {
        names.nth(1)
    };
    let file = file.expect(case.name);
    let mut bytes = fs::read(file).expect("the file is readable");
    let length = bytes.len();
    match case.fault {
        FileFault::None => {}
        FileFault::InvertByte(percent) => bytes[length * percent / 100] ^= 0xff,
        FileFault::Truncate(percent) => bytes.truncate(length * percent / 100),
        FileFault::TornWrite => bytes.extend_from_within(..20),
        FileFault::Remove => return fs::remove_file(file).expect("the file can be removed"),
    }
    fs::write(file, bytes).expect("the file is writable");
}

/// Guards against undetected corruption, and against a torn write that prevents opening.
#[test]
fn corruption_is_rejected_and_a_torn_write_is_truncated() {
    for case in CASES {
        let directory = tempfile::tempdir().expect("a temporary directory can be created");
        let (mut wal, _) = Wal::open(directory.path(), OPTIONS).expect(case.name);
        run_op(&mut wal, Op::HardState(1)).expect(case.name);
        for index in 1..=6 {
            run_op(&mut wal, Op::Append(index * 3 - 2, index * 3, 1)).expect(case.name);
            run_op(&mut wal, Op::Sync).expect(case.name);
            if index == 2 {
                run_op(&mut wal, Op::SaveSnapshot(4, 1)).expect(case.name);
            }
        }
        run_op(&mut wal, Op::HardState(2)).expect(case.name);
        run_op(&mut wal, Op::Sync).expect(case.name);
        run_op(&mut wal, Op::HardState(3)).expect(case.name);
        run_op(&mut wal, Op::Sync).expect(case.name);
        drop(wal);
        inject_fault(directory.path(), case);
        let opened = Wal::open(directory.path(), OPTIONS);
        match (opened, case.is_expected) {
            (Ok((_, found)), None) => {
                assert_eq!(found.entries.len(), 14, "{}", case.name);
                assert_eq!(found.hard_state.term, 3, "{}", case.name);
            }
            (Err(StorageError::Corrupted { corruption, .. }), Some(matches_expected)) => {
                assert!(matches_expected(&corruption), "{}: {corruption}", case.name);
            }
            (other, _) => panic!("{}: {:?}", case.name, other.map(|(_, found)| found)),
        }
    }
}

/// Guards against two processes that write to one directory.
#[test]
fn a_directory_cannot_be_opened_twice() {
    let directory = tempfile::tempdir().expect("a temporary directory can be created");
    let first = Wal::open(directory.path(), OPTIONS).expect("the directory can be opened");
    let second = Wal::open(directory.path(), OPTIONS);
    assert!(matches!(second, Err(StorageError::Locked { .. })));
    drop(first);
    Wal::open(directory.path(), OPTIONS).expect("the directory can be opened after it was closed");
}
