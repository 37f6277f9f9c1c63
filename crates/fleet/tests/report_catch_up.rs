//! Tests of the decision whether a replica that has started holds all recent reports.

use mangospindle_fleet::{CatchUpAnswer, ReplicaStart, ReportCatchUp, ReportPosition, ReportReply};
use std::time::Duration;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn reply(complete: bool) -> Vec<u8> {
    let reply = ReportReply {
        position: ReportPosition::default(),
        complete,
        reports: Vec::new(),
    };
    reply.encode()
}

/// Guards against a replica of an earlier build, which knows no reports, or a silent one that is taken for one
/// that holds all.
#[test]
fn answers_of_other_builds_tell_nothing() {
    struct Case {
        name: &'static str,
        reply: Option<Vec<u8>>,
        expected: CatchUpAnswer,
    }
    let cases = [
        Case {
            name: "complete",
            reply: Some(reply(true)),
            expected: CatchUpAnswer::Complete,
        },
        Case {
            name: "incomplete",
            reply: Some(reply(false)),
            expected: CatchUpAnswer::Incomplete,
        },
        Case {
            name: "empty, as from a build without reports",
            reply: Some(Vec::new()),
            expected: CatchUpAnswer::Missing,
        },
        Case {
            name: "no reply",
            reply: None,
            expected: CatchUpAnswer::Missing,
        },
    ];
    for case in cases {
        let decoded = case.reply.map(|r| ReportReply::decode(&r));
        assert_eq!(
            CatchUpAnswer::from(decoded.as_ref()),
            case.expected,
            "{}",
            case.name
        );
    }
}

/// Guards against a replica that claims to hold all reports after a start although it has lost some, and against
/// one that never claims it, so that its entries check each new connection for good.
#[test]
fn replicas_catch_up_from_the_others_or_after_the_retention_time() {
    use CatchUpAnswer::{Complete, Incomplete, Missing};
    use ReplicaStart::{First, Restart};

    /// What happens at a time.
    enum Step {
        /// The replica is connected to a majority from then on, as all others are known to be.
        Connected(u64),
        /// The replica is cut off from then on.
        CutOff(u64),
        /// The process is frozen until then.
        FrozenUntil(u64),
        /// A request is answered, which was sent 50 ms before.
        Answered(u64, &'static [CatchUpAnswer]),
    }
    use Step::{Answered, Connected, CutOff, FrozenUntil};

    struct Case {
        name: &'static str,
        start: ReplicaStart,
        steps: &'static [Step],
        caught_up_at: Option<u64>,
    }
    let cases = [
        Case {
            name: "never connected",
            start: Restart,
            steps: &[],
            caught_up_at: None,
        },
        Case {
            name: "first start, never connected",
            start: First,
            steps: &[Answered(2_000, &[Incomplete, Incomplete])],
            caught_up_at: None,
        },
        Case {
            name: "one restarts",
            start: Restart,
            steps: &[Connected(300), Answered(1_000, &[Complete, Complete])],
            caught_up_at: Some(1_000),
        },
        Case {
            name: "one restarts, another one has ended",
            start: Restart,
            steps: &[Connected(300), Answered(1_000, &[Missing, Complete])],
            caught_up_at: Some(1_000),
        },
        Case {
            name: "a new one joins a group",
            start: First,
            steps: &[Connected(300), Answered(1_000, &[Complete, Missing])],
            caught_up_at: Some(1_000),
        },
        Case {
            name: "an answer from before the others could pass reports on",
            start: Restart,
            steps: &[
                Connected(300),
                Answered(840, &[Complete, Complete]),
                Answered(860, &[Complete, Complete]),
            ],
            caught_up_at: Some(860),
        },
        Case {
            name: "all restart",
            start: Restart,
            steps: &[
                Connected(300),
                Answered(1_000, &[Incomplete, Incomplete]),
                Answered(2_000, &[Incomplete, Incomplete]),
            ],
            caught_up_at: Some(10_800),
        },
        Case {
            name: "all restart, and one comes to hold all reports first",
            start: Restart,
            steps: &[
                Connected(300),
                Answered(1_000, &[Incomplete, Incomplete]),
                Answered(10_000, &[Incomplete, Complete]),
            ],
            caught_up_at: Some(10_000),
        },
        Case {
            name: "all start for the first time",
            start: First,
            steps: &[Connected(300), Answered(1_000, &[Incomplete, Incomplete])],
            caught_up_at: Some(1_000),
        },
        Case {
            name: "all start for the first time, one later",
            start: First,
            steps: &[
                Connected(300),
                Answered(1_000, &[Incomplete, Missing]),
                Answered(2_000, &[Incomplete, Incomplete]),
            ],
            caught_up_at: Some(2_000),
        },
        Case {
            name: "the only one starts for the first time",
            start: First,
            steps: &[Connected(300), Answered(1_000, &[])],
            caught_up_at: Some(1_000),
        },
        Case {
            name: "the only one restarts",
            start: Restart,
            steps: &[Connected(300), Answered(1_000, &[])],
            caught_up_at: Some(10_800),
        },
        Case {
            name: "the others are of a build without reports",
            start: Restart,
            steps: &[Connected(300), Answered(1_000, &[Missing, Missing])],
            caught_up_at: Some(10_800),
        },
        Case {
            name: "first start beside a build without reports",
            start: First,
            steps: &[Connected(300), Answered(1_000, &[Incomplete, Missing])],
            caught_up_at: Some(10_800),
        },
        Case {
            name: "cut off before the answer",
            start: Restart,
            steps: &[
                Connected(300),
                CutOff(900),
                Answered(1_000, &[Complete, Complete]),
                Connected(5_000),
                Answered(5_400, &[Complete, Complete]),
                Answered(5_600, &[Complete, Complete]),
            ],
            caught_up_at: Some(5_600),
        },
        Case {
            name: "cut off within the retention time",
            start: Restart,
            steps: &[Connected(300), CutOff(9_000), Connected(12_000)],
            caught_up_at: Some(22_500),
        },
        Case {
            name: "frozen within the retention time",
            start: Restart,
            steps: &[Connected(300), FrozenUntil(9_000)],
            caught_up_at: Some(19_500),
        },
        Case {
            name: "cut off after it has caught up",
            start: Restart,
            steps: &[
                Connected(300),
                Answered(1_000, &[Complete, Complete]),
                CutOff(2_000),
            ],
            caught_up_at: Some(1_000),
        },
    ];
    for case in cases {
        let mut catch_up = ReportCatchUp::new(case.start);
        let mut is_connected = false;
        let mut observed_from = 0;
        let mut caught_up_at = None;
        for now in (0..30_000).step_by(10) {
            for step in case.steps {
                match step {
                    Connected(at) if *at == now => is_connected = true,
                    CutOff(at) if *at == now => is_connected = false,
                    FrozenUntil(at) if now > 1_000 => observed_from = *at,
                    Answered(at, answers) if *at == now => {
                        catch_up.record_answers(ms(now - 50), answers);
                    }
                    Connected(_) | CutOff(_) | FrozenUntil(_) | Answered(..) => {}
                }
            }
            if now >= observed_from {
                catch_up.observe(ms(now), is_connected.then_some(ms(20)));
            }
            if catch_up.is_caught_up() {
                caught_up_at = caught_up_at.or(Some(now));
            }
        }
        assert_eq!(caught_up_at, case.caught_up_at, "{}", case.name);
        assert_eq!(
            catch_up.is_caught_up(),
            case.caught_up_at.is_some(),
            "{}",
            case.name
        );
    }
}

/// Guards against a replica that counts a time in which it was not connected lately as connected.
#[test]
fn replicas_without_recent_confirmation_are_cut_off() {
    struct Case {
        name: &'static str,
        confirmed_age: Option<Duration>,
        caught_up: bool,
    }
    let cases = [
        Case {
            name: "never confirmed",
            confirmed_age: None,
            caught_up: false,
        },
        Case {
            name: "confirmed within the limit",
            confirmed_age: Some(ms(800)),
            caught_up: true,
        },
        Case {
            name: "confirmed before the limit",
            confirmed_age: Some(ms(801)),
            caught_up: false,
        },
    ];
    for case in cases {
        let mut catch_up = ReportCatchUp::new(ReplicaStart::Restart);
        for now in (0..=1_000).step_by(100) {
            catch_up.observe(ms(now), case.confirmed_age);
        }
        catch_up.record_answers(ms(1_000), &[CatchUpAnswer::Complete]);
        assert_eq!(catch_up.is_caught_up(), case.caught_up, "{}", case.name);
    }
}
