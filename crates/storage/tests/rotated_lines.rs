//! Tests of numbered lines in files of bounded size.

#![allow(clippy::unwrap_used)] // A panic in a helper fails the test.

use mangospindle_storage::{OpenedLines, RotatedLines, RotationLimits};
use std::fs;
use std::io;
use std::path::Path;

const LIMITS: RotationLimits = RotationLimits {
    max_file_bytes: 1_000,
    max_total_bytes: 4_000,
};

fn number_of(line: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(line).ok()?;
    let (number, rest) = text.split_once(' ')?;
    rest.ends_with('.').then(|| number.parse().ok())?
}

fn line(number: u64, length: usize) -> Vec<u8> {
    format!("{number} {}.\n", "x".repeat(length)).into_bytes()
}

fn open(directory: &Path) -> (RotatedLines, OpenedLines) {
    RotatedLines::open(directory, "audit", LIMITS, number_of).unwrap()
}

fn append(lines: &mut RotatedLines, numbers: std::ops::RangeInclusive<u64>, length: usize) {
    for number in numbers {
        lines.append(number, &line(number, length)).unwrap();
    }
    lines.sync().unwrap();
}

/// Names of the files in the order of their lines, and their content.
fn files(directory: &Path) -> Vec<(String, String)> {
    let mut files: Vec<_> = fs::read_dir(directory)
        .unwrap()
        .map(|entry| {
            let path = entry.unwrap().path();
            let name = path.file_name().unwrap().to_str().unwrap().to_string();
            (name, fs::read_to_string(path).unwrap())
        })
        .collect();
    // `audit.jsonl` holds the newest lines.
    files.sort_by_key(|(name, _)| (name == "audit.jsonl", name.clone()));
    files
}

fn numbers(directory: &Path) -> Vec<u64> {
    (files(directory).iter())
        .flat_map(|(_, text)| text.lines().map(|l| number_of(l.as_bytes()).unwrap()))
        .collect()
}

fn total_bytes(directory: &Path) -> u64 {
    files(directory)
        .iter()
        .map(|(_, text)| text.len() as u64)
        .sum()
}

/// Guards against files that grow without end until they fill the disk, and against lines that are lost
/// or repeated while files are rotated and opened again.
#[test]
fn newest_lines_are_kept_within_the_limit() {
    for length in [10, 90, 400, 990] {
        let directory = tempfile::tempdir().unwrap();
        let path = directory.path();
        let (mut lines, _) = open(path);
        let mut last = 0;
        for _ in 0..40 {
            append(&mut lines, last + 1..=last + 7, length);
            last += 7;
            assert!(
                total_bytes(path) <= LIMITS.max_total_bytes,
                "lines of {length}"
            );
            assert_eq!(total_bytes(path), lines.total_bytes());
            drop(lines);
            let opened;
            (lines, opened) = open(path);
            assert_eq!(opened, OpenedLines::default());
            assert_eq!(lines.last(), last);
        }
        let kept = numbers(path);
        assert_eq!(*kept.last().unwrap(), last);
        assert!(kept.windows(2).all(|w| w[1] == w[0] + 1), "{kept:?}");
        // A file is removed only when the limit requires it.
        assert!(total_bytes(path) > LIMITS.max_total_bytes - 3 * LIMITS.max_file_bytes);
    }
}

/// Guards against a start that repeats or skips lines after a crash at any point of a rotation or of a
/// write.
#[test]
fn state_after_a_crash_is_continued() {
    struct Case {
        name: &'static str,
        damage: fn(&Path),
        truncated_bytes: u64,
    }
    let cases = [
        Case {
            name: "nothing",
            damage: |_| {},
            truncated_bytes: 0,
        },
        Case {
            name: "the full file has its new name, and there is no new file",
            damage: |path| {
                let full = path.join(format!("audit-{:020}.jsonl", 15));
                fs::rename(path.join("audit.jsonl"), full).unwrap();
            },
            truncated_bytes: 0,
        },
        Case {
            name: "the new file is empty",
            damage: |path| {
                let full = path.join(format!("audit-{:020}.jsonl", 15));
                fs::rename(path.join("audit.jsonl"), full).unwrap();
                fs::write(path.join("audit.jsonl"), "").unwrap();
            },
            truncated_bytes: 0,
        },
        Case {
            name: "a torn line",
            damage: |path| {
                let mut text = fs::read(path.join("audit.jsonl")).unwrap();
                text.extend(b"16 xx");
                fs::write(path.join("audit.jsonl"), text).unwrap();
            },
            truncated_bytes: 5,
        },
        Case {
            name: "a hole and a torn line with an end",
            damage: |path| {
                let mut text = fs::read(path.join("audit.jsonl")).unwrap();
                text.extend(b"\0\0\0\n16 xx\n");
                fs::write(path.join("audit.jsonl"), text).unwrap();
            },
            truncated_bytes: 10,
        },
        Case {
            name: "a temporary file",
            damage: |path| fs::write(path.join("audit.tmp"), "16 xx").unwrap(),
            truncated_bytes: 0,
        },
    ];
    for case in cases {
        let directory = tempfile::tempdir().unwrap();
        let path = directory.path();
        let (mut lines, _) = open(path);
        append(&mut lines, 1..=15, 90);
        drop(lines);
        (case.damage)(path);
        let (mut lines, opened) = open(path);
        assert_eq!(
            opened.truncated_bytes, case.truncated_bytes,
            "{}",
            case.name
        );
        assert_eq!(lines.last(), 15, "{}", case.name);
        append(&mut lines, 16..=30, 90);
        let _ = fs::remove_file(path.join("audit.tmp"));
        assert_eq!(numbers(path), (1..=30).collect::<Vec<_>>(), "{}", case.name);
    }
}

/// Guards against a file of an earlier build, which had no limit, that stays above the limit, and against
/// the loss of its newest lines.
#[test]
fn file_of_an_earlier_build_is_shortened_to_its_newest_lines() {
    let directory = tempfile::tempdir().unwrap();
    let path = directory.path();
    let text: Vec<u8> = (1..=500).flat_map(|n| line(n, 40)).collect();
    fs::write(path.join("audit.jsonl"), &text).unwrap();
    let (mut lines, opened) = open(path);
    assert_eq!(opened.evicted_bytes, text.len() as u64 - total_bytes(path));
    assert!(total_bytes(path) <= LIMITS.max_file_bytes);
    assert!(total_bytes(path) > LIMITS.max_file_bytes - 100);
    append(&mut lines, 501..=600, 40);
    assert!(total_bytes(path) <= LIMITS.max_total_bytes);
    let kept = numbers(path);
    assert_eq!(*kept.last().unwrap(), 600);
    assert!(kept.windows(2).all(|w| w[1] == w[0] + 1), "{kept:?}");
}

/// Guards against a line that makes a file larger than the limit, and against the damage of other files in
/// the directory.
#[test]
fn long_lines_are_refused_and_other_files_stay() {
    let directory = tempfile::tempdir().unwrap();
    let path = directory.path();
    let others = ["audit-x.jsonl", "audit-1.json", "wal-00000000000000000001"];
    for name in others {
        fs::write(path.join(name), "1 other.\n").unwrap();
    }
    let (mut lines, _) = open(path);
    let error = lines.append(1, &line(1, 1_000)).unwrap_err();
    assert_eq!(error.kind(), io::ErrorKind::FileTooLarge);
    append(&mut lines, 1..=200, 90);
    for name in others {
        assert_eq!(
            fs::read_to_string(path.join(name)).unwrap(),
            "1 other.\n",
            "{name}"
        );
    }
}
