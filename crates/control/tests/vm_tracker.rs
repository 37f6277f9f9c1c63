//! Decisions from the platform's VM list.

use mangospindle_control::{
    ListedVm, MIN_ABSENT_POLLS, MIN_ABSENT_TIME, VmList, VmState, VmTracker,
};
use std::time::Duration;

/// Guards against fencing a VM that is alive: on one missing answer, on a burst of answers, on a
/// partial list, or when the VM was replaced and runs another process.
#[test]
fn only_vms_that_stay_absent_are_gone() {
    struct Case {
        name: &'static str,
        /// Lists with the time in ms from the previous one, repeated as often as stated.
        lists: &'static [(&'static str, u64, u32)],
        gone: &'static [(&'static str, u64)],
    }
    const MANY: u32 = MIN_ABSENT_POLLS * 2;
    let cases = [
        Case {
            name: "never absent",
            lists: &[("a b c", 1000, MANY)],
            gone: &[],
        },
        Case {
            name: "absent for long",
            lists: &[("a b c", 1000, 1), ("a c", 1000, MANY)],
            gone: &[("b", 2)],
        },
        Case {
            name: "absent in too few answers",
            lists: &[("a b c", 1000, 1), ("a c", 20_000, MIN_ABSENT_POLLS - 1)],
            gone: &[],
        },
        Case {
            name: "absent in a burst of answers",
            lists: &[("a b c", 1000, 1), ("a c", 10, MANY)],
            gone: &[],
        },
        Case {
            name: "absent twice, not in a row",
            lists: &[
                ("a b c", 1000, 1),
                ("a c", 2000, 9),
                ("a b c", 1000, 1),
                ("a c", 2000, 9),
            ],
            gone: &[],
        },
        Case {
            name: "never listed",
            lists: &[("a c", 1000, MANY)],
            gone: &[],
        },
        Case {
            name: "without a process when it was first absent",
            lists: &[("a idle c", 1000, 1), ("a c", 1000, MANY)],
            gone: &[],
        },
        Case {
            name: "partial and empty lists do not count",
            lists: &[("a b c", 1000, 1), ("a", 1000, MANY), ("", 1000, MANY)],
            gone: &[],
        },
    ];
    assert!(MIN_ABSENT_TIME < Duration::from_secs(u64::from(MANY)));
    for case in cases {
        let mut tracker = VmTracker::default();
        let mut now = Duration::ZERO;
        let mut gone = Vec::new();
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
                let answer = tracker.observe(&list, now, incarnation);
                gone = answer.map_or(gone, |gone| gone.into_iter().collect());
            }
        }
        let expected: Vec<(String, u64)> =
            (case.gone.iter().map(|(name, i)| ((*name).to_string(), *i))).collect();
        assert_eq!(gone, expected, "{}", case.name);
    }
}
