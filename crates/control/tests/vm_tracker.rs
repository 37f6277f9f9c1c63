//! Tests of the detection of removed VMs in the platform's VM list.

use mangospindle_control::{
    ListedVm, MIN_ABSENT_POLLS, MIN_ABSENT_TIME, VmList, VmState, VmTracker,
};
use std::time::Duration;

/// Guards against fencing a live VM: because of a single list without it, a burst of lists, a partial
/// list, or when the VM was replaced and runs another process.
#[test]
fn only_vms_that_stay_absent_are_removed() {
    struct Case {
        name: &'static str,
        /// Names in a list, the time in ms since the previous list, and how often the list is repeated.
        lists: &'static [(&'static str, u64, u32)],
        removed: &'static [(&'static str, u64)],
    }
    const MANY: u32 = MIN_ABSENT_POLLS * 2;
    let cases = [
        Case {
            name: "never absent",
            lists: &[("a b c", 1000, MANY)],
            removed: &[],
        },
        Case {
            name: "absent for long",
            lists: &[("a b c", 1000, 1), ("a c", 1000, MANY)],
            removed: &[("b", 2)],
        },
        Case {
            name: "absent from too few lists",
            lists: &[("a b c", 1000, 1), ("a c", 20_000, MIN_ABSENT_POLLS - 1)],
            removed: &[],
        },
        Case {
            name: "absent from a burst of lists",
            lists: &[("a b c", 1000, 1), ("a c", 10, MANY)],
            removed: &[],
        },
        Case {
            name: "absent twice, not consecutively",
            lists: &[
                ("a b c", 1000, 1),
                ("a c", 2000, 9),
                ("a b c", 1000, 1),
                ("a c", 2000, 9),
            ],
            removed: &[],
        },
        Case {
            name: "never listed",
            lists: &[("a c", 1000, MANY)],
            removed: &[],
        },
        Case {
            name: "without a process when it was first absent",
            lists: &[("a idle c", 1000, 1), ("a c", 1000, MANY)],
            removed: &[],
        },
        Case {
            name: "partial and empty lists do not count",
            lists: &[("a b c", 1000, 1), ("a", 1000, MANY), ("", 1000, MANY)],
            removed: &[],
        },
    ];
    assert!(MIN_ABSENT_TIME < Duration::from_secs(u64::from(MANY)));
    for case in cases {
        let mut tracker = VmTracker::default();
        let mut now = Duration::ZERO;
        let mut removed = Vec::new();
        for (names, step, repeat) in case.lists {
            let list = VmList {
                vms: (names.split_whitespace())
                    .map(|name| ListedVm {
                        name: name.to_string(),
                        state: VmState::Live,
                    })
                    .collect(),
            };
            for _ in 0..*repeat {
                now += Duration::from_millis(*step);
                let incarnation = |vm: &str| match vm {
                    "a" => Some(1),
                    "b" => Some(2),
                    "c" => Some(3),
                    _ => None,
                };
                let result = tracker.observe(&list, now, incarnation);
                removed = result.map_or(removed, |removed| removed.into_iter().collect());
            }
        }
        let expected: Vec<(String, u64)> = (case
            .removed
            .iter()
            .map(|(name, i)| ((*name).to_string(), *i)))
        .collect();
        assert_eq!(removed, expected, "{}", case.name);
    }
}
