use crate::support::*;
use mangospindle_model::{EndpointId, EntryId, ErrorKind, RegionId, ServiceId};
use mangospindle_state::ClaimOutcome::{
    BodyMismatch, Completed, Granted, InProgress, NotFound, Unknown,
};
use mangospindle_state::{ClaimOutcome, CommandKind, Outcome, Takeover, preferred_owner};

const HOUR_MS: u64 = 3_600_000;

#[derive(Clone)]
enum Expect {
    Done,
    Refused(ErrorKind),
    Conflict(Option<u64>),
    Claim(ClaimOutcome),
}

enum Step {
    /// Sends a command under a fresh request identifier.
    Send(CommandKind, Expect),
    /// Sends a command under a named request identifier.
    SendAs(&'static str, CommandKind, Expect),
    Wait(u64),
    /// Moves the leader's wall clock without a command in between.
    Jump(i64),
    Restart,
    Owner(u32, Option<u16>, u64, Takeover),
    Lookup(&'static str, ClaimOutcome),
}

struct Case {
    /// The failure that the case guards against.
    guards: &'static str,
    steps: Vec<Step>,
}

fn claim(k: &str, digest: u8, entry: u16, incarnation: u64, sequence: u64) -> CommandKind {
    CommandKind::Claim {
        key: key(k),
        digest: [digest; 32],
        attempt: attempt(entry, incarnation, sequence),
    }
}

fn complete(k: &str, entry: u16, incarnation: u64, sequence: u64) -> CommandKind {
    CommandKind::CompleteClaim {
        key: key(k),
        attempt: attempt(entry, incarnation, sequence),
        answer: answer(3),
    }
}

fn give_up(k: &str, entry: u16, incarnation: u64, sequence: u64) -> CommandKind {
    CommandKind::ReleaseClaim {
        key: key(k),
        attempt: attempt(entry, incarnation, sequence),
    }
}

fn unknown(k: &str, entry: u16, incarnation: u64, sequence: u64) -> CommandKind {
    CommandKind::MarkClaimUnknown {
        key: key(k),
        attempt: attempt(entry, incarnation, sequence),
    }
}

fn assign(profile: &str, base: &str) -> CommandKind {
    CommandKind::AssignProfile {
        service: ServiceId(0),
        profile: profile.to_string(),
        base_profile: base.to_string(),
    }
}

fn limit(max_in_progress: u32, base: u32) -> CommandKind {
    CommandKind::SetRegionLimit {
        region: RegionId(0),
        max_in_progress,
        base,
    }
}

fn run(case: &Case) {
    let mut replica = Replica::new();
    for (i, step) in case.steps.iter().enumerate() {
        let at = format!("step {i} of: {}", case.guards);
        let (request, kind, expect) = match step {
            Step::Send(kind, expect) => (format!("request-{i}"), kind, expect),
            Step::SendAs(request, kind, expect) => (request.to_string(), kind, expect),
            Step::Wait(ms) => {
                replica.wait(*ms);
                continue;
            }
            Step::Jump(ms) => {
                replica.now_ms = replica.now_ms.saturating_add_signed(*ms);
                continue;
            }
            Step::Restart => {
                replica.restart();
                continue;
            }
            Step::Owner(id, owner, epoch, takeover) => {
                let present = replica.state.config().ownership[*id as usize];
                let seen = (present.owner, present.epoch, present.takeover);
                assert_eq!(seen, (owner.map(EntryId), *epoch, *takeover), "{at}");
                continue;
            }
            Step::Lookup(k, expect) => {
                assert_eq!(replica.state.claim(&key(k)), *expect, "{at}");
                continue;
            }
        };
        let outcome = replica.send(&request, kind.clone());
        match (expect, &outcome) {
            (Expect::Done, Outcome::Done { .. }) => {}
            (Expect::Refused(kind), Outcome::Refused { kind: k, .. }) => {
                assert_eq!(kind, k, "{at}");
            }
            (
                Expect::Conflict(version),
                Outcome::Refused {
                    kind: ErrorKind::VersionConflict,
                    current_version,
                    ..
                },
            ) => assert_eq!(version, current_version, "{at}"),
            (Expect::Claim(expect), Outcome::Claim(c)) => assert_eq!(expect, c, "{at}"),
            _ => panic!("{outcome:?} at {at}"),
        }
    }
}

#[test]
fn operator_changes() {
    use Expect::{Conflict, Done, Refused};
    use Step::{Restart, Send, SendAs, Wait};
    let add = CommandKind::AddEndpoint {
        endpoint: endpoint("x0", 0, 3000),
    };
    let cases = [
        Case {
            guards: "both of two changes from one version winning, or a resend being lost",
            steps: vec![
                SendAs("r1", put("p", 11, 1), Done),
                SendAs("r2", put("p", 12, 1), Conflict(Some(2))),
                Restart,
                SendAs("r1", put("p", 11, 1), Done),
                SendAs("r2", put("p", 12, 1), Conflict(Some(2))),
                SendAs(
                    "r2",
                    put("p", 13, 2),
                    Refused(ErrorKind::IdempotencyKeyReused),
                ),
                Wait(25 * HOUR_MS),
                SendAs("r1", put("p", 11, 1), Conflict(Some(2))),
            ],
        },
        Case {
            guards: "a version of a deleted profile naming a later profile of the same name",
            steps: vec![
                Send(put("n", 1, 0), Done),
                Send(put("n", 2, 1), Done),
                Send(delete("n", 1), Conflict(Some(2))),
                Send(delete("n", 2), Done),
                Send(delete("n", 2), Refused(ErrorKind::NotFound)),
                Send(put("n", 3, 2), Conflict(Some(0))),
                Restart,
                Send(put("n", 3, 0), Done),
                Send(put("n", 4, 1), Conflict(Some(3))),
            ],
        },
        Case {
            guards: "a service without a profile, a lost update of an assignment or a limit",
            steps: vec![
                Send(delete("p", 1), Refused(ErrorKind::InvalidChange)),
                Send(assign("none", "p"), Refused(ErrorKind::InvalidChange)),
                Send(assign("q", "p"), Done),
                Send(assign("p", "p"), Conflict(None)),
                Send(delete("p", 1), Done),
                Send(limit(50, 100), Done),
                Send(limit(60, 100), Conflict(Some(50))),
            ],
        },
        Case {
            guards: "invalid values in the state",
            steps: vec![
                Send(put("a b", 1, 0), Refused(ErrorKind::InvalidChange)),
                SendAs("", put("n", 1, 0), Refused(ErrorKind::BadRequest)),
                Send(add, Refused(ErrorKind::InvalidChange)),
                Send(fence("x0", None), Refused(ErrorKind::InvalidChange)),
                Send(fence("nobody", None), Refused(ErrorKind::NotFound)),
                Send(join(9, 1), Refused(ErrorKind::NotFound)),
                Send(release(9, 0, 1), Refused(ErrorKind::NotFound)),
                Send(
                    CommandKind::SetEndpointDrain {
                        endpoint: EndpointId(9),
                        drain: true,
                    },
                    Refused(ErrorKind::NotFound),
                ),
            ],
        },
    ];
    cases.iter().for_each(run);
}

#[test]
fn ownership() {
    use Expect::{Conflict, Done, Refused};
    use Step::{Owner, Restart, Send, SendAs, Wait};
    use Takeover::{Clean, Quarantine};
    let cases = [
        Case {
            guards: "a live owner losing an endpoint to a later join; a region owning another's",
            steps: vec![
                Send(join(2, 1), Done),
                Owner(0, Some(2), 1, Clean),
                Owner(3, None, 0, Clean),
                Send(join(0, 1), Done),
                Owner(0, Some(2), 1, Clean),
                Send(release(0, 2, 1), Done),
                Owner(0, Some(0), 2, Clean),
                Send(release(0, 2, 1), Conflict(Some(2))),
            ],
        },
        Case {
            guards: "a new process taking over its crashed predecessor's endpoints without a wait",
            steps: vec![
                Send(join(3, 1), Done),
                Owner(3, Some(3), 1, Clean),
                Restart,
                Send(join(3, 2), Done),
                Owner(3, Some(3), 2, Quarantine),
                Send(release(3, 3, 1), Conflict(Some(2))),
                Send(join(3, 1), Refused(ErrorKind::InvalidChange)),
                Send(join(3, 2), Done),
                Owner(3, Some(3), 2, Quarantine),
            ],
        },
        Case {
            guards: "a release during a quarantine making the next ownership clean",
            steps: vec![
                Send(join(3, 1), Done),
                Send(join(3, 2), Done),
                Wait(MAX_DEADLINE_MS - 1),
                Send(release(3, 3, 2), Done),
                Owner(3, Some(3), 3, Quarantine),
                Wait(MAX_DEADLINE_MS),
                Send(release(3, 3, 3), Done),
                Owner(3, Some(3), 4, Clean),
            ],
        },
        Case {
            guards: "a fence without a successor losing its quarantine",
            steps: vec![
                Send(join(3, 1), Done),
                Send(fence("c0", Some(1)), Done),
                Owner(3, None, 2, Quarantine),
                Restart,
                Send(join(3, 1), Refused(ErrorKind::InvalidChange)),
                Send(join(3, 2), Done),
                Owner(3, Some(3), 3, Quarantine),
            ],
        },
        Case {
            guards: "a late or resent fence hitting the process on the replaced VM",
            steps: vec![
                Send(join(3, 1), Done),
                SendAs("f", fence("c0", None), Done),
                Send(join(3, 2), Done),
                Owner(3, Some(3), 3, Quarantine),
                SendAs("f", fence("c0", None), Done),
                Send(fence("c0", Some(1)), Done),
                Owner(3, Some(3), 3, Quarantine),
            ],
        },
        Case {
            guards: "a leaving process getting endpoints, or joining after its own leave",
            steps: vec![
                Send(join(3, 1), Done),
                Send(leave(3, 1), Done),
                Owner(3, Some(3), 1, Clean),
                Send(release(3, 3, 1), Done),
                Owner(3, None, 2, Clean),
                Send(join(3, 1), Refused(ErrorKind::InvalidChange)),
                Send(leave(3, 2), Done),
                Send(join(3, 2), Refused(ErrorKind::InvalidChange)),
                Send(join(3, 3), Done),
                Owner(3, Some(3), 3, Clean),
            ],
        },
    ];
    cases.iter().for_each(run);
}

#[test]
fn claims() {
    use Expect::{Claim, Done, Refused};
    use Step::{Jump, Lookup, Restart, Send, Wait};
    let done = || Completed(answer(3));
    let joined = |steps: Vec<Step>| {
        let joins = [Send(join(0, 1), Done), Send(join(3, 5), Done)];
        joins.into_iter().chain(steps).collect()
    };
    let cases = [
        Case {
            guards: "an action running twice, or another request getting its answer",
            steps: joined(vec![
                Send(claim("k", 1, 0, 1, 1), Claim(Granted)),
                Send(claim("k", 1, 0, 1, 1), Claim(Granted)),
                Send(claim("k", 1, 3, 5, 1), Claim(InProgress)),
                Send(claim("k", 2, 3, 5, 1), Claim(BodyMismatch)),
                Send(complete("k", 3, 5, 1), Refused(ErrorKind::NotFound)),
                Restart,
                Send(complete("k", 0, 1, 1), Done),
                Send(give_up("k", 0, 1, 1), Done),
                Send(unknown("k", 0, 1, 1), Done),
                Lookup("k", done()),
                Send(claim("k", 1, 3, 5, 1), Claim(done())),
                Lookup("other", NotFound),
            ]),
        },
        Case {
            guards: "a claim staying granted after its own release, in either order",
            steps: joined(vec![
                Send(give_up("k", 0, 1, 1), Done),
                Restart,
                Send(
                    claim("k", 1, 0, 1, 1),
                    Refused(ErrorKind::DeadlineBeforeDispatch),
                ),
                Send(claim("k", 1, 0, 1, 2), Claim(Granted)),
                Send(give_up("k", 0, 1, 1), Done),
                Lookup("k", InProgress),
                Send(give_up("k", 0, 1, 2), Done),
                Send(
                    claim("k", 1, 0, 1, 2),
                    Refused(ErrorKind::DeadlineBeforeDispatch),
                ),
                Wait(2 * HOUR_MS),
                Send(
                    claim("k", 1, 0, 1, 1),
                    Refused(ErrorKind::DeadlineBeforeDispatch),
                ),
                Send(claim("k", 1, 0, 1, 3), Claim(Granted)),
            ]),
        },
        Case {
            guards: "a claim passing on when its process is lost",
            steps: joined(vec![
                Send(claim("k", 1, 0, 1, 1), Claim(Granted)),
                Send(claim("l", 1, 0, 1, 2), Claim(Granted)),
                Send(join(0, 2), Done),
                Lookup("k", Unknown),
                Send(claim("k", 1, 0, 2, 1), Claim(Unknown)),
                Send(claim("m", 1, 0, 1, 3), Refused(ErrorKind::Draining)),
                Send(complete("k", 0, 1, 1), Done),
                Lookup("k", done()),
                Send(give_up("l", 0, 1, 2), Done),
                Send(claim("l", 1, 3, 5, 1), Claim(Granted)),
                Send(fence("c0", None), Done),
                Lookup("l", Unknown),
            ]),
        },
        Case {
            guards: "an answer or a digest dropped before its time or kept for ever",
            steps: joined(vec![
                Send(claim("k", 1, 0, 1, 1), Claim(Granted)),
                Send(complete("k", 0, 1, 1), Done),
                Wait(24 * HOUR_MS - 1),
                Lookup("k", done()),
                Wait(1),
                Lookup("k", Unknown),
                Send(claim("k", 1, 0, 1, 2), Claim(Unknown)),
                Restart,
                Wait(90 * 24 * HOUR_MS - 1),
                Send(claim("k", 1, 0, 1, 2), Claim(Unknown)),
                Wait(HOUR_MS),
                Send(claim("k", 1, 0, 1, 3), Claim(Granted)),
            ]),
        },
        Case {
            guards: "a wrong wall clock of a leader making the state forget claims",
            steps: joined(vec![
                Send(claim("k", 1, 0, 1, 1), Claim(Granted)),
                Jump(400 * 24 * HOUR_MS as i64),
                Wait(1),
                Jump(-400 * 24 * HOUR_MS as i64),
                Wait(1),
                Lookup("k", InProgress),
            ]),
        },
        Case {
            guards: "keys outside the limits in the state",
            steps: joined(vec![
                Send(claim("", 1, 0, 1, 1), Refused(ErrorKind::BadRequest)),
                Send(
                    claim(&"k".repeat(256), 1, 0, 1, 1),
                    Refused(ErrorKind::BadRequest),
                ),
            ]),
        },
    ];
    cases.iter().for_each(run);
}

/// Guards against home entries outside the failure domain while it has an active entry, and
/// against a hash that gives all endpoints to one entry or moves endpoints of entries that stay.
#[test]
fn preferred_owners() {
    let mut replica = Replica::new();
    for i in 0..64u16 {
        let endpoint = endpoint(&format!("e{i}"), 0, 5000 + i);
        replica.send(&format!("add{i}"), CommandKind::AddEndpoint { endpoint });
    }
    let homes = |replica: &Replica| -> Vec<Option<EntryId>> {
        let config = replica.state.config();
        let all = config.topology.endpoint_ids().skip(4);
        all.map(|id| preferred_owner(config, id)).collect()
    };
    assert_eq!(homes(&replica), vec![None; 64]);
    replica.send("", join(2, 1));
    assert_eq!(homes(&replica), vec![Some(EntryId(2)); 64]);
    replica.send("", join(0, 1));
    replica.send("", join(1, 1));
    let both = homes(&replica);
    let at_a0 = both.iter().filter(|o| **o == Some(EntryId(0))).count();
    assert!((16..=48).contains(&at_a0), "{at_a0} of 64");
    assert!(both.iter().all(|o| *o != Some(EntryId(2))));
    replica.send("", leave(1, 1));
    for (before, after) in both.into_iter().zip(homes(&replica)) {
        assert!(before == after || before == Some(EntryId(1)));
    }
}
