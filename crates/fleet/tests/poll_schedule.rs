//! Tests of when replicas poll the platform's endpoint list.

use mangospindle_fleet::{PollRole, PollSchedule, list_poll_interval};
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

/// Guards against replicas that all poll the list at the same time when the leader is lost: 27 of them
/// made more than 200 calls a second at 1,212 endpoints.
#[test]
fn replicas_take_over_polling_one_after_the_other() {
    const REPLICAS: usize = 9;
    const TICK: Duration = Duration::from_millis(50);
    /// Time until the list of one replica has reached the others.
    const EXCHANGE_TIME: Duration = Duration::from_millis(600);
    const RUN_TIME: Duration = Duration::from_secs(60);
    /// Age that the list may reach while nobody leads.
    const MAX_AGE: Duration = Duration::from_secs(3);
    struct Case {
        name: &'static str,
        /// Replicas that reach each other. The others reach nobody.
        connected: usize,
        /// Maximum number of polls of the connected replicas, and of each other one.
        max_polls: (usize, usize),
    }
    let cases = [
        Case {
            name: "all are connected",
            connected: REPLICAS,
            max_polls: (30, 0),
        },
        Case {
            name: "two are cut off",
            connected: REPLICAS - 2,
            max_polls: (30, 30),
        },
    ];
    for case in cases {
        let mut schedules = vec![PollSchedule::new(Vec::new(), 2_100.0); REPLICAS];
        let mut read_at = [Duration::ZERO; REPLICAS];
        let mut polls = [0; REPLICAS];
        let mut arrivals: Vec<(Duration, Duration)> = Vec::new();
        let mut now = Duration::ZERO;
        while now < RUN_TIME {
            now += TICK;
            for (_, list) in arrivals.extract_if(.., |(arrives_at, _)| *arrives_at <= now) {
                let connected = read_at[..case.connected].iter_mut();
                connected.for_each(|at| *at = list.max(*at));
            }
            for n in 0..REPLICAS {
                let is_connected = n < case.connected;
                let role = PollRole::Follower {
                    rank: if is_connected { n } else { 0 },
                };
                let age = now - read_at[n];
                assert!(age <= MAX_AGE, "{}: {age:?} at replica {n}", case.name);
                if schedules[n].is_due(now, role, Some(age)) {
                    polls[n] += 1;
                    read_at[n] = now;
                    if is_connected {
                        arrivals.push((now + EXCHANGE_TIME, now));
                    }
                }
            }
        }
        let connected: usize = polls[..case.connected].iter().sum();
        assert!(connected <= case.max_polls.0, "{}: {polls:?}", case.name);
        let others = polls[case.connected..].iter();
        let most = others.max().copied().unwrap_or_default();
        assert!(most <= case.max_polls.1, "{}: {polls:?}", case.name);
    }
}

/// Guards against a new leader that waits before its first poll, and against a leader that does not poll
/// on while its own list is fresh.
#[test]
fn leaders_poll_at_once_and_go_on() {
    let now = Duration::from_secs(100);
    let fresh = Some(Duration::from_millis(100));
    let mut schedule = PollSchedule::new(Vec::new(), 47.0);
    let follower = PollRole::Follower { rank: 0 };
    assert!(!schedule.is_due(now, follower, fresh));
    assert!(schedule.is_due(now, PollRole::Leader, fresh));
    let soon = now + Duration::from_millis(300);
    assert!(!schedule.is_due(soon, PollRole::Leader, fresh));
    let later = now + Duration::from_millis(700);
    assert!(schedule.is_due(later, PollRole::Leader, fresh));
}

/// Guards against a replica that leads for the second time and waits for its interval: nobody else polls in
/// that time.
#[test]
fn leaders_poll_at_once_each_time_they_are_elected() {
    let now = Duration::from_secs(100);
    let fresh = Some(Duration::from_millis(100));
    let mut schedule = PollSchedule::new(Vec::new(), 47.0);
    let follower = PollRole::Follower { rank: 0 };
    assert!(schedule.is_due(now, PollRole::Leader, fresh));
    let deposed = now + Duration::from_millis(100);
    assert!(!schedule.is_due(deposed, follower, fresh));
    let elected_again = now + Duration::from_millis(300);
    assert!(schedule.is_due(elected_again, PollRole::Leader, fresh));
}
