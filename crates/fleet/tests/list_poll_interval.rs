//! Tests of the interval between polls of the platform's endpoint list.

use mangospindle_fleet::list_poll_interval;
use std::time::Duration;

/// Guards against more calls per second than the platform accepts when the list has many pages.
#[test]
fn poll_interval_keeps_to_the_call_rate() {
    struct Case {
        name: &'static str,
        calls: u32,
        max_rate: f64,
    }
    let cases = [
        Case {
            name: "48 endpoints",
            calls: 1,
            max_rate: 47.0,
        },
        Case {
            name: "498 endpoints",
            calls: 10,
            max_rate: 47.0,
        },
        Case {
            name: "9,680 endpoints",
            calls: 194,
            max_rate: 47.0,
        },
        Case {
            name: "low call rate",
            calls: 2,
            max_rate: 1.0,
        },
    ];
    for case in cases {
        let interval = list_poll_interval(case.calls, case.max_rate);
        // Two replicas may poll at the same time.
        let rate = 2.0 * f64::from(case.calls) / interval.as_secs_f64();
        assert!(
            rate <= case.max_rate,
            "{}: {rate} calls per second",
            case.name
        );
        assert!(
            interval <= Duration::from_secs(30),
            "{}: {interval:?}",
            case.name
        );
    }
    assert!(
        list_poll_interval(5, 0.0) <= Duration::from_secs(30),
        "rate of zero"
    );
}
