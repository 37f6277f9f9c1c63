//! Time that requests have during a graceful stop.

use mangospindle_dispatch::StopSchedule;
use std::time::Duration;

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Guards against a stopping entry that accepts a request which it cannot complete before it exits,
/// and against one that refuses a request which it can complete.
#[test]
fn stop_leaves_time_only_for_requests_that_can_complete() {
    struct Case {
        name: &'static str,
        /// Time of the request since the start of the stop.
        at: Duration,
        /// Deadline of the request since the start of the stop.
        deadline: Duration,
        /// Expected latency of the request.
        expected: Duration,
        accepted: bool,
    }
    // A stop of 6 s; the process exits 0.25 s before its end.
    let cases = [
        Case {
            name: "deadline before the exit",
            at: ms(100),
            deadline: ms(5000),
            expected: ms(4000),
            accepted: true,
        },
        Case {
            name: "deadline before the exit, late in the stop",
            at: ms(4100),
            deadline: ms(5700),
            expected: ms(1500),
            accepted: true,
        },
        Case {
            name: "expected after the deadline",
            at: ms(4100),
            deadline: ms(5700),
            expected: ms(1700),
            accepted: false,
        },
        Case {
            name: "deadline after the exit, short request early in the stop",
            at: ms(500),
            deadline: ms(8500),
            expected: ms(2100),
            accepted: true,
        },
        Case {
            name: "deadline after the exit, long request early in the stop",
            at: ms(500),
            deadline: ms(8500),
            expected: ms(3000),
            accepted: false,
        },
        Case {
            name: "deadline after the exit, second half of the stop",
            at: ms(3500),
            deadline: ms(6000),
            expected: ms(100),
            accepted: false,
        },
    ];
    for start in [ms(0), ms(77_000)] {
        let schedule = StopSchedule::new(start, ms(6000));
        for case in &cases {
            let left = schedule.time_left(start + case.at, start + case.deadline);
            assert_eq!(
                left >= case.expected,
                case.accepted,
                "{}: {left:?}",
                case.name
            );
        }
        assert!(schedule.refuse_new_at() < schedule.exit_at());
        assert!(schedule.exit_at() < start + ms(6000));
    }
}
