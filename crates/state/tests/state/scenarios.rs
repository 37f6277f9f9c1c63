use crate::support::*;
use mangospindle_model::{EndpointId, EntryId, RegionId, ServiceId};
use mangospindle_state::{Attempt, ClaimOutcome, CommandKind, Outcome, preferred_owner};

const HOUR_MS: i64 = 3_600_000;

struct Case {
    /// The failure that the case guards against.
    guards: &'static str,
    /// Steps, separated by `;`, each with the expected result after `=>` unless that is `done`. A
    /// step is a command (see [`command`]), with `@ID` before it for a named request identifier,
    /// or:
    /// - `wait 24h-1`: time passes, in hours plus or minus milliseconds;
    /// - `jump -9h`: only the leader's wall clock moves;
    /// - `restart`: a snapshot is taken and restored;
    /// - `owner ENDPOINT`, `lookup KEY`: what the state says.
    steps: &'static [&'static str],
}

fn number<N: std::str::FromStr>(text: &str) -> N {
    text.parse()
        .unwrap_or_else(|_| panic!("`{text}` is not a number"))
}

/// Milliseconds of a text such as `30000`, `-9h` or `24h-1`.
fn ms(text: &str) -> i64 {
    match text.split_once('h') {
        None => number(text),
        Some((hours, "")) => number::<i64>(hours) * HOUR_MS,
        Some((hours, rest)) => number::<i64>(hours) * HOUR_MS + number::<i64>(rest),
    }
}

/// Entry, incarnation and sequence number as in `0/1/3`.
fn attempt_of(text: &str) -> Attempt {
    let parts: Vec<u64> = text.split('/').map(number).collect();
    attempt(parts[0] as u16, parts[1], parts[2])
}

fn command(words: &[&str]) -> CommandKind {
    match *words {
        ["join", entry, process] => join(number(entry), number(process)),
        ["leave", entry, process] => leave(number(entry), number(process)),
        ["fence", name] => fence(name, None),
        ["fence", name, process] => fence(name, Some(number(process))),
        ["release", id, entry, epoch] => release(number(id), number(entry), number(epoch)),
        ["put", name, limit, base] => put(name, number(limit), number(base)),
        ["delete", name, base] => delete(name, number(base)),
        ["assign", profile, base] => CommandKind::AssignProfile {
            service: ServiceId(0),
            profile: profile.to_string(),
            base_profile: base.to_string(),
        },
        ["limit", limit, base] => CommandKind::SetRegionLimit {
            region: RegionId(0),
            max_in_progress: number(limit),
            base: number(base),
        },
        ["drain", id] => CommandKind::SetEndpointDrain {
            endpoint: EndpointId(number(id)),
            drain: true,
        },
        ["add", name] => CommandKind::AddEndpoint {
            endpoint: endpoint(name, 0, 3000),
        },
        ["claim", name, digest, claimant] => {
            // `-N` stands for a key of N bytes.
            let long = name.strip_prefix('-').map(|n| "k".repeat(number(n)));
            let key = key(long.as_deref().unwrap_or(name));
            claim(&key, number(digest), attempt_of(claimant))
        }
        [how, name, claimant] => end_claim(how, &key(name), attempt_of(claimant), 3),
        _ => panic!("{words:?}"),
    }
}

fn claim_text(outcome: ClaimOutcome) -> String {
    match outcome {
        ClaimOutcome::Completed(recorded) => {
            assert_eq!(recorded, response(3));
            "Completed".to_string()
        }
        other => format!("{other:?}"),
    }
}

fn run(case: &Case) {
    let mut replica = Replica::new();
    let steps = case.steps.iter().flat_map(|line| line.split("; "));
    for (i, step) in steps.enumerate() {
        let (step, expect) = step.split_once(" => ").unwrap_or((step, "done"));
        let words: Vec<&str> = step.split(' ').collect();
        let seen = match words[..] {
            ["wait" | "jump" | "restart", ..] => {
                match words[..] {
                    ["wait", time] => replica.wait(ms(time) as u64),
                    ["jump", time] => {
                        replica.now_ms = replica.now_ms.saturating_add_signed(ms(time));
                    }
                    _ => replica.restart(),
                }
                "done".to_string()
            }
            ["owner", id] => {
                let o = replica.state.config().ownership[number::<usize>(id)];
                let owner = o.owner.map_or("none".to_string(), |e| e.to_string());
                format!("{owner} {} {:?}", o.epoch, o.takeover)
            }
            ["lookup", name] => claim_text(replica.state.lookup_claim(&key(name))),
            _ => {
                let (request, words) = match words[0].strip_prefix('@') {
                    Some(id) => (id.to_string(), &words[1..]),
                    None => (format!("request-{i}"), &words[..]),
                };
                match replica.send(&request, command(words)) {
                    Outcome::Done { .. } => "done".to_string(),
                    Outcome::Claim(outcome) => claim_text(outcome),
                    Outcome::Refused {
                        kind,
                        current_version,
                        ..
                    } => match current_version {
                        Some(version) => format!("{} {version}", kind.row().name),
                        None => kind.row().name.to_string(),
                    },
                }
            }
        };
        assert_eq!(seen, expect, "step {i}, {step}, of: {}", case.guards);
    }
}

#[test]
fn operator_changes() {
    let cases = [
        Case {
            guards: "both of two changes from one version winning, or a resend being lost",
            steps: &[
                "@r1 put p 11 1; @r2 put p 12 1 => version-conflict 2; restart",
                "@r1 put p 11 1; @r2 put p 12 1 => version-conflict 2",
                "@r2 put p 13 2 => idempotency-key-reused; wait 25h",
                "@r1 put p 11 1 => version-conflict 2",
            ],
        },
        Case {
            guards: "a version of a deleted profile naming a later profile of the same name",
            steps: &[
                "put n 1 0; put n 2 1; delete n 1 => version-conflict 2; delete n 2",
                "delete n 2 => not-found; put n 3 2 => version-conflict 0; restart; put n 3 0",
                "put n 4 1 => version-conflict 3",
            ],
        },
        Case {
            guards: "a service without a profile, a lost update of an assignment or a limit",
            steps: &[
                "delete p 1 => invalid-change; assign none p => invalid-change; assign q p",
                "assign p p => version-conflict; delete p 1; limit 50 100",
                "limit 60 100 => version-conflict 50",
            ],
        },
        Case {
            guards: "invalid values in the state",
            steps: &[
                "put a/b 1 0 => invalid-change; @ put n 1 0 => bad-request",
                "add x0 => invalid-change; fence x0 => invalid-change",
                "fence nobody => not-found; join 9 1 => not-found; release 9 0 1 => not-found",
                "drain 9 => not-found",
            ],
        },
    ];
    cases.iter().for_each(run);
}

#[test]
fn ownership() {
    let cases = [
        Case {
            guards: "a live owner losing an endpoint to a later join; a region owning another's",
            steps: &[
                "join 2 1; owner 0 => 2 1 Clean; owner 3 => none 0 Clean; join 0 1",
                "owner 0 => 2 1 Clean; release 0 2 1; owner 0 => 0 2 Clean",
                "release 0 2 1 => version-conflict 2",
            ],
        },
        Case {
            guards: "a new process taking over its crashed predecessor's endpoints without a wait",
            steps: &[
                "join 3 1; owner 3 => 3 1 Clean; restart; join 3 2; owner 3 => 3 2 Quarantine",
                "release 3 3 1 => version-conflict 2; join 3 1 => invalid-change; join 3 2",
                "owner 3 => 3 2 Quarantine",
            ],
        },
        Case {
            guards: "a release during a quarantine making the next ownership clean",
            steps: &[
                "join 3 1; join 3 2; wait 29999; release 3 3 2; owner 3 => 3 3 Quarantine",
                "wait 30000; release 3 3 3; owner 3 => 3 4 Clean",
            ],
        },
        Case {
            guards: "a fence without a successor losing its quarantine",
            steps: &[
                "join 3 1; fence c0 1; owner 3 => none 2 Quarantine; restart",
                "join 3 1 => invalid-change; join 3 2; owner 3 => 3 3 Quarantine",
            ],
        },
        Case {
            guards: "a late or resent fence hitting the process on the replaced VM",
            steps: &[
                "join 3 1; @f fence c0; join 3 2; owner 3 => 3 3 Quarantine; @f fence c0",
                "fence c0 1; owner 3 => 3 3 Quarantine",
                "fence c0 7; join 3 7 => invalid-change; owner 3 => 3 3 Quarantine",
            ],
        },
        Case {
            guards: "a leaving process getting endpoints, or joining after its own leave",
            steps: &[
                "join 3 1; leave 3 1; owner 3 => 3 1 Clean; release 3 3 1",
                "owner 3 => none 2 Clean; join 3 1 => invalid-change; leave 3 2",
                "join 3 2 => invalid-change; join 3 3; owner 3 => 3 3 Clean",
            ],
        },
    ];
    cases.iter().for_each(run);
}

#[test]
fn claims() {
    let cases = [
        Case {
            guards: "an action running twice, or another request getting its answer",
            steps: &[
                "join 0 1; join 3 5; claim k 1 0/1/1 => Granted; claim k 1 0/1/1 => Granted",
                "claim k 1 3/5/1 => InProgress; claim k 2 3/5/1 => BodyMismatch",
                "complete k 3/5/1 => not-found; restart; complete k 0/1/1; give-up k 0/1/1",
                "unknown k 0/1/1; lookup k => Completed; claim k 1 3/5/1 => Completed",
                "lookup other => NotFound",
            ],
        },
        Case {
            guards: "a claim staying granted after its own release, in either order",
            steps: &[
                "join 0 1; give-up k 0/1/1; restart",
                "claim k 1 0/1/1 => deadline-before-dispatch; claim k 1 0/1/2 => Granted",
                "give-up k 0/1/1; lookup k => InProgress; give-up k 0/1/2",
                "claim k 1 0/1/2 => deadline-before-dispatch; wait 2h",
                "claim k 1 0/1/1 => deadline-before-dispatch; claim k 1 0/1/3 => Granted",
            ],
        },
        Case {
            guards: "a claim passing on when its process is lost",
            steps: &[
                "join 0 1; join 3 5; claim k 1 0/1/1 => Granted; claim l 1 0/1/2 => Granted",
                "join 0 2; lookup k => Unknown; claim k 1 0/2/1 => Unknown",
                "claim m 1 0/1/3 => draining; complete k 0/1/1; lookup k => Completed",
                "give-up l 0/1/2; claim l 1 3/5/1 => Granted; fence c0; lookup l => Unknown",
            ],
        },
        Case {
            guards: "an answer or a digest dropped before its time or kept for ever",
            steps: &[
                "join 0 1; claim k 1 0/1/1 => Granted; complete k 0/1/1; wait 24h-1",
                "lookup k => Completed; wait 1; lookup k => Unknown",
                "claim k 1 0/1/2 => Unknown; restart; wait 2160h-1",
                "claim k 1 0/1/2 => Unknown; wait 1h; claim k 1 0/1/3 => Granted",
            ],
        },
        Case {
            guards: "a digest that is not found once newer digests follow it, or after a restart",
            steps: &[
                "join 0 1; claim k 1 0/1/1 => Granted; wait 25h; claim l 1 0/1/2 => Granted; wait 25h",
                "claim m 1 0/1/3 => Granted; wait 25h; lookup k => Unknown; lookup l => Unknown",
                "restart; lookup k => Unknown; claim l 1 0/1/4 => Unknown; wait 2120h",
                "lookup k => NotFound; lookup l => Unknown; lookup m => Unknown",
            ],
        },
        Case {
            guards: "a wrong wall clock of a leader making the state forget claims",
            steps: &[
                "join 0 1; claim k 1 0/1/1 => Granted; jump 9600h; wait 1; jump -9600h",
                "wait 1; lookup k => InProgress",
            ],
        },
        Case {
            guards: "keys outside the limits in the state",
            steps: &[
                "join 0 1; claim -0 1 0/1/1 => bad-request; claim -256 1 0/1/1 => bad-request",
                "claim -255 1 0/1/1 => Granted",
            ],
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
        let name = format!("e{i}");
        let endpoint = endpoint(&name, 0, 5000 + i);
        replica.send(&name, CommandKind::AddEndpoint { endpoint });
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
