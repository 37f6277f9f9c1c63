use crate::crashes::{OPTIONS, Op, write};
use mangospindle_storage::{Corruption, StorageError, Wal};
use std::{fs, path::Path};

/// What is done to a file of a closed directory.
enum Harm {
    None,
    /// Inverts the byte at this share of the file, in percent.
    Flip(usize),
    /// Keeps this share of the file, in percent.
    Cut(usize),
    /// Appends half of the file's first record.
    Tear,
    Remove,
}

struct Case {
    /// Which failure it guards against.
    name: &'static str,
    /// Start of the name of the file; the last one that matches is taken, or the first but one.
    file: &'static str,
    last: bool,
    harm: Harm,
    /// The damage that is reported, if the directory is refused.
    refused: Option<fn(&Corruption) -> bool>,
}

const CASES: &[Case] = &[
    Case {
        name: "an intact directory is refused",
        file: "wal-",
        last: true,
        harm: Harm::None,
        refused: None,
    },
    Case {
        name: "a torn tail is refused",
        file: "wal-",
        last: true,
        harm: Harm::Tear,
        refused: None,
    },
    Case {
        name: "a changed byte in an earlier segment is taken for a torn tail",
        file: "wal-",
        last: false,
        harm: Harm::Flip(50),
        refused: Some(|d| *d == Corruption::Checksum),
    },
    Case {
        name: "a changed byte before later synced records is taken for a torn tail",
        file: "wal-",
        last: true,
        harm: Harm::Flip(40),
        refused: Some(|d| *d == Corruption::Checksum),
    },
    Case {
        name: "an earlier segment that is cut short goes unnoticed",
        file: "wal-",
        last: false,
        harm: Harm::Cut(70),
        refused: Some(|d| *d == Corruption::Checksum),
    },
    Case {
        name: "a missing segment goes unnoticed",
        file: "wal-",
        last: false,
        harm: Harm::Remove,
        refused: Some(|d| matches!(d, Corruption::UnexpectedSequence { .. })),
    },
    Case {
        name: "a damaged snapshot is installed",
        file: "snapshot-",
        last: true,
        harm: Harm::Flip(60),
        refused: Some(|d| *d == Corruption::Checksum),
    },
    Case {
        name: "a missing snapshot goes unnoticed",
        file: "snapshot-",
        last: true,
        harm: Harm::Remove,
        refused: Some(|d| *d == Corruption::MissingFile),
    },
    Case {
        name: "a directory with entries gets a new identity",
        file: "identity",
        last: true,
        harm: Harm::Remove,
        refused: Some(|d| *d == Corruption::MissingFile),
    },
];

fn harm(path: &Path, case: &Case) {
    let names = fs::read_dir(path).expect("a directory");
    let mut names: Vec<_> = names.map(|e| e.expect("an entry").path()).collect();
    names.sort();
    let matches = |p: &&std::path::PathBuf| {
        let name = p.file_name().expect("a name").to_string_lossy();
        name.starts_with(case.file)
    };
    let mut names = names.iter().filter(matches);
    let file = if case.last {
        names.next_back()
    } else {
        names.nth(1)
    };
    let file = file.expect(case.name);
    let mut bytes = fs::read(file).expect("a file");
    let length = bytes.len();
    match case.harm {
        Harm::None => {}
        Harm::Flip(percent) => bytes[length * percent / 100] ^= 0xff,
        Harm::Cut(percent) => bytes.truncate(length * percent / 100),
        Harm::Tear => bytes.extend_from_within(..20),
        Harm::Remove => return fs::remove_file(file).expect("removed"),
    }
    fs::write(file, bytes).expect("written");
}

#[test]
fn damage_is_refused_and_a_torn_tail_is_cut() {
    for case in CASES {
        let directory = tempfile::tempdir().expect("a directory");
        let (mut wal, _) = Wal::open(directory.path(), OPTIONS).expect(case.name);
        write(&mut wal, Op::HardState(1)).expect(case.name);
        for index in 1..=6 {
            write(&mut wal, Op::Append(index * 3 - 2, index * 3, 1)).expect(case.name);
            write(&mut wal, Op::Sync).expect(case.name);
            if index == 2 {
                write(&mut wal, Op::Save(4, 1)).expect(case.name);
            }
        }
        write(&mut wal, Op::HardState(2)).expect(case.name);
        write(&mut wal, Op::Sync).expect(case.name);
        write(&mut wal, Op::HardState(3)).expect(case.name);
        write(&mut wal, Op::Sync).expect(case.name);
        drop(wal);
        harm(directory.path(), case);
        let opened = Wal::open(directory.path(), OPTIONS);
        match (opened, case.refused) {
            (Ok((_, found)), None) => {
                assert_eq!(found.entries.len(), 14, "{}", case.name);
                assert_eq!(found.hard_state.term, 3, "{}", case.name);
            }
            (Err(StorageError::Corrupted { corruption, .. }), Some(expected)) => {
                assert!(expected(&corruption), "{}: {corruption}", case.name);
            }
            (other, _) => panic!("{}: {:?}", case.name, other.map(|(_, found)| found)),
        }
    }
}

/// Guards against two processes that write to one directory.
#[test]
fn a_directory_is_opened_once() {
    let directory = tempfile::tempdir().expect("a directory");
    let first = Wal::open(directory.path(), OPTIONS).expect("opened");
    let second = Wal::open(directory.path(), OPTIONS);
    assert!(matches!(second, Err(StorageError::Locked { .. })));
    drop(first);
    Wal::open(directory.path(), OPTIONS).expect("opened again");
}
