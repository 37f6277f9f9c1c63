//! Tests of the decision whether an entry has lost its paths to all endpoints.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use mangospindle_dispatch::{EndpointKey, PathChange, PathMonitor, ProbeRound};
use std::time::Duration;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

const NOW: Duration = ms(10_000);

const fn round(probed: usize, opened: usize) -> ProbeRound {
    ProbeRound { probed, opened }
}

/// Guards against a loss that is noticed only after each endpoint has failed for itself, and against
/// probes in calm times.
#[test]
fn paths_are_probed_on_suspicion_only() {
    struct Case {
        name: &'static str,
        /// Endpoints to which a connection failed to open.
        failed: &'static [u32],
        /// Age of the last response.
        silent: Duration,
        /// Age of the oldest request that waits for a response.
        waiting: Option<Duration>,
        expected: bool,
    }
    let cases = [
        Case {
            name: "responses arrive",
            failed: &[],
            silent: ms(50),
            waiting: Some(ms(1_500)),
            expected: false,
        },
        Case {
            name: "an idle entry",
            failed: &[],
            silent: ms(5_000),
            waiting: None,
            expected: false,
        },
        Case {
            name: "a request that was just sent after an idle time",
            failed: &[],
            silent: ms(5_000),
            waiting: Some(ms(100)),
            expected: false,
        },
        Case {
            name: "requests get no response",
            failed: &[],
            silent: ms(500),
            waiting: Some(ms(600)),
            expected: true,
        },
        Case {
            name: "one endpoint fails repeatedly",
            failed: &[7, 7, 7, 7],
            silent: ms(50),
            waiting: None,
            expected: false,
        },
        Case {
            name: "connections to several endpoints fail while open ones respond",
            failed: &[7, 8, 9],
            silent: ms(50),
            waiting: None,
            expected: true,
        },
    ];
    for case in cases {
        let mut paths = PathMonitor::default();
        paths.record_response(NOW - case.silent);
        for endpoint in case.failed {
            paths.record_connect_failure(EndpointKey(*endpoint));
        }
        let waiting_since = case.waiting.map(|age| NOW - age);
        let due = paths.is_round_due(NOW, waiting_since);
        assert_eq!(due, case.expected, "{}", case.name);
        paths.record_connected();
        paths.record_response(NOW);
        assert!(!paths.is_round_due(NOW, waiting_since), "{}", case.name);
    }
}

/// Guards against an entry that takes failed endpoints for the loss of its paths.
#[test]
fn a_single_path_refutes_the_loss() {
    let rounds = [
        (round(3, 0), true),
        (round(2, 0), true),
        (round(3, 1), false),
        (round(1, 0), false),
        (round(0, 0), false),
    ];
    for (round, lost) in rounds {
        let mut paths = PathMonitor::default();
        let change = paths.record_round(NOW, round);
        assert_eq!(change, lost.then_some(PathChange::Lost), "{round:?}");
        assert_eq!(paths.are_lost(), lost, "{round:?}");
        assert_eq!(paths.accepts_callers(NOW), !lost, "{round:?}");
    }
}

/// Guards against an entry that does not notice the return of its paths, and against callers that
/// come and go with paths that do.
#[test]
fn callers_return_some_time_after_the_paths() {
    let mut paths = PathMonitor::default();
    paths.record_round(NOW, round(3, 0)).unwrap();
    assert!(!paths.is_round_due(NOW + ms(100), None));
    let later = NOW + ms(1_000);
    assert!(paths.is_round_due(later, None));
    let change = paths.record_round(later, round(3, 2));
    assert_eq!(change, Some(PathChange::Restored { lost_at: NOW }));
    assert!(!paths.are_lost());
    assert!(!paths.accepts_callers(later + ms(500)));
    assert!(paths.accepts_callers(later + ms(1_500)));
}

/// Guards against a crowded link that is taken for the loss of all paths.
#[test]
fn probes_wait_longer_while_endpoints_respond() {
    let mut paths = PathMonitor::default();
    paths.record_response(NOW);
    let responding = paths.probe_timeout(NOW + ms(200));
    let silent = paths.probe_timeout(NOW + ms(700));
    assert!(responding >= 3 * silent, "{responding:?}, {silent:?}");
}
