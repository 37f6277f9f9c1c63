//! Time that requests have during a graceful stop.

use crate::support::{NOW, dispatcher, ms, record, request};
use mangospindle_dispatch::{RefusalReason, Request, StopSchedule};
use std::time::Duration;

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
            let limit = schedule.latency_limit(start + case.at, start + case.deadline);
            assert_eq!(
                limit >= case.expected,
                case.accepted,
                "{}: {limit:?}",
                case.name
            );
        }
        assert!(schedule.refuse_new_at() < schedule.exit_at());
        assert!(schedule.exit_at() < start + ms(6000));
    }
}

/// Guards against refusals because of load that are reported as refusals because of the stop, whose
/// callers are told to return at once.
#[test]
fn stop_and_load_are_told_apart() {
    struct Case {
        name: &'static str,
        time_left: Duration,
        stop_limit: Option<Duration>,
        expected: Option<RefusalReason>,
    }
    // The initial estimate of the service time is 300 ms.
    let cases = [
        Case {
            name: "not stopping",
            time_left: ms(2000),
            stop_limit: None,
            expected: None,
        },
        Case {
            name: "the stop leaves enough time",
            time_left: ms(2000),
            stop_limit: Some(ms(1000)),
            expected: None,
        },
        Case {
            name: "the stop leaves too little time",
            time_left: ms(2000),
            stop_limit: Some(ms(50)),
            expected: Some(RefusalReason::Stopping),
        },
        Case {
            name: "the stop leaves no time",
            time_left: ms(2000),
            stop_limit: Some(ms(0)),
            expected: Some(RefusalReason::Stopping),
        },
        Case {
            name: "the deadline leaves too little time as well",
            time_left: ms(50),
            stop_limit: Some(ms(50)),
            expected: Some(RefusalReason::TooLate),
        },
    ];
    for case in cases {
        let mut dispatcher = dispatcher(&[record(1, "a")]);
        let request = Request {
            time_left: case.time_left,
            stop_limit: case.stop_limit,
            ..request()
        };
        let refusal = dispatcher.choose(NOW, &request).err();
        assert_eq!(refusal.map(|r| r.reason), case.expected, "{}", case.name);
    }
}
