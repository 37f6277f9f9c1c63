use crate::support::*;
use mangospindle_model::{EndpointId, EntryId, RegionId, ServiceId};
use mangospindle_state::{Attempt, ClaimOutcome, CommandKind, Outcome, preferred_owner};

const HOUR_MS: i64 = 3_600_000;

struct Case {
    /// The failure that the case guards against.
    failure: &'static str,
    /// Steps, separated by `;`, each with the expected result after `=>` unless that is `done`. A
    /// step is a command (see [`parse_command`]), with `@ID` before it for a named request
    /// identifier, or:
    /// - `wait 24h-1`: advances the time by hours plus or minus milliseconds;
    /// - `jump -9h`: changes only the leader's wall clock;
    /// - `restart`: restores the state from its snapshot;
    /// - `owner ENDPOINT`, `lookup KEY`: reads the ownership or the claim from the state.
    steps: &'static [&'static str],
}

fn parse_number<N: std::str::FromStr>(text: &str) -> N {
    text.parse()
        .unwrap_or_else(|_| panic!("`{text}` is not a number"))
}

/// Parses a duration in milliseconds, such as `30000`, `-9h` or `24h-1`.
fn parse_duration_ms(text: &str) -> i64 {
    match text.split_once('h') {
        None => parse_number(text),
        Some((hours, "")) => parse_number::<i64>(hours) * HOUR_MS,
        Some((hours, rest)) => parse_number::<i64>(hours) * HOUR_MS + parse_number::<i64>(rest),
    }
}

/// Parses entry, incarnation and sequence number, as in `0/1/3`.
fn parse_attempt(text: &str) -> Attempt {
    let parts: Vec<u64> = text.split('/').map(parse_number).collect();
    attempt(parts[0] as u16, parts[1], parts[2])
}

fn parse_command(words: &[&str]) -> CommandKind {
    match *words {
        ["join", entry, process] => entry_join(parse_number(entry), parse_number(process)),
        ["leave", entry, process] => entry_leave(parse_number(entry), parse_number(process)),
        ["fence", name] => fence_vm(name, None),
        ["fence", name, process] => fence_vm(name, Some(parse_number(process))),
        ["release", id, entry, epoch] => {
            release_endpoint(parse_number(id), parse_number(entry), parse_number(epoch))
        }
        ["put", name, limit, base] => put_profile(name, parse_number(limit), parse_number(base)),
        ["delete", name, base] => delete_profile(name, parse_number(base)),
        ["assign", profile, base] => CommandKind::AssignProfile {
            service: ServiceId(0),
            profile: profile.to_string(),
            base_profile: base.to_string(),
        },
        ["limit", limit, base] => CommandKind::SetRegionLimit {
            region: RegionId(0),
            max_in_progress: parse_number(limit),
            base: parse_number(base),
        },
        ["drain", id] => CommandKind::SetEndpointDrain {
            endpoint: EndpointId(parse_number(id)),
            drain: true,
        },
        ["add", name] => CommandKind::AddEndpoint {
            endpoint: endpoint(name, 0, 3000),
        },
        ["claim", name, digest, claimant] => {
            // `-N` is a key of N bytes.
            let long = name.strip_prefix('-').map(|n| "k".repeat(parse_number(n)));
            let key = claim_key(long.as_deref().unwrap_or(name));
            claim(&key, parse_number(digest), parse_attempt(claimant))
        }
        [action, name, claimant] => end_claim(action, &claim_key(name), parse_attempt(claimant), 3),
        _ => panic!("unknown command {words:?}"),
    }
}

fn format_claim_outcome(outcome: ClaimOutcome) -> String {
    match outcome {
        ClaimOutcome::Completed(recorded) => {
            assert_eq!(recorded, response(3));
            "Completed".to_string()
        }
        other => format!("{other:?}"),
    }
}

fn run_case(case: &Case) {
    let mut replica = TestReplica::new();
    let steps = case.steps.iter().flat_map(|line| line.split("; "));
    for (i, step) in steps.enumerate() {
        let (step, expected) = step.split_once(" => ").unwrap_or((step, "done"));
        let words: Vec<&str> = step.split(' ').collect();
        let actual = match words[..] {
            ["wait" | "jump" | "restart", ..] => {
                match words[..] {
                    ["wait", time] => replica.advance_time(parse_duration_ms(time) as u64),
                    ["jump", time] => {
                        replica.now_ms = replica
                            .now_ms
                            .saturating_add_signed(parse_duration_ms(time));
                    }
                    _ => replica.restore_from_snapshot(),
                }
                "done".to_string()
            }
            ["owner", id] => {
                let o = replica.state.config().ownership[parse_number::<usize>(id)];
                let owner = o.owner.map_or("none".to_string(), |e| e.to_string());
                format!("{owner} {} {:?}", o.epoch, o.takeover)
            }
            ["lookup", name] => format_claim_outcome(replica.state.lookup_claim(&claim_key(name))),
            _ => {
                let (request, words) = match words[0].strip_prefix('@') {
                    Some(id) => (id.to_string(), &words[1..]),
                    None => (format!("request-{i}"), &words[..]),
                };
                match replica.propose(&request, parse_command(words)) {
                    Outcome::Done { .. } => "done".to_string(),
                    Outcome::Claim(outcome) => format_claim_outcome(outcome),
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
        assert_eq!(actual, expected, "step {i}, {step}, of: {}", case.failure);
    }
}

#[test]
fn operator_change_scenarios() {
    let cases = [
        Case {
            failure: "two changes of one base version both succeeding, or a resend being lost",
            steps: &[
                "@r1 put p 11 1; @r2 put p 12 1 => version-conflict 2; restart",
                "@r1 put p 11 1; @r2 put p 12 1 => version-conflict 2",
                "@r2 put p 13 2 => idempotency-key-reused; wait 25h",
                "@r1 put p 11 1 => version-conflict 2",
            ],
        },
        Case {
            failure: "a version of a deleted profile matching a later profile of the same name",
            steps: &[
                "put n 1 0; put n 2 1; delete n 1 => version-conflict 2; delete n 2",
                "delete n 2 => not-found; put n 3 2 => version-conflict 0; restart; put n 3 0",
                "put n 4 1 => version-conflict 3",
            ],
        },
        Case {
            failure: "a service without a profile, a lost update of an assignment or a limit",
            steps: &[
                "delete p 1 => invalid-change; assign none p => invalid-change; assign q p",
                "assign p p => version-conflict; delete p 1; limit 50 100",
                "limit 60 100 => version-conflict 50",
            ],
        },
        Case {
            failure: "invalid values in the state",
            steps: &[
                "put a/b 1 0 => invalid-change; @ put n 1 0 => bad-request",
                "add x0 => invalid-change; fence x0 => invalid-change",
                "fence nobody => not-found; join 9 1 => not-found; release 9 0 1 => not-found",
                "drain 9 => not-found",
            ],
        },
    ];
    cases.iter().for_each(run_case);
}

#[test]
fn ownership_scenarios() {
    let cases = [
        Case {
            failure: "an active owner losing an endpoint to a join; an owner in another region",
            steps: &[
                "join 2 1; owner 0 => 2 1 Clean; owner 3 => none 0 Clean; join 0 1",
                "owner 0 => 2 1 Clean; release 0 2 1; owner 0 => 0 2 Clean",
                "release 0 2 1 => version-conflict 2",
            ],
        },
        Case {
            failure: "a new process owning its predecessor's endpoints without a quarantine",
            steps: &[
                "join 3 1; owner 3 => 3 1 Clean; restart; join 3 2; owner 3 => 3 2 Quarantine",
                "release 3 3 1 => version-conflict 2; join 3 1 => invalid-change; join 3 2",
                "owner 3 => 3 2 Quarantine",
            ],
        },
        Case {
            failure: "a release during a quarantine making the next ownership clean",
            steps: &[
                "join 3 1; join 3 2; wait 29999; release 3 3 2; owner 3 => 3 3 Quarantine",
                "wait 30000; release 3 3 3; owner 3 => 3 4 Clean",
            ],
        },
        Case {
            failure: "a fence without a successor losing its quarantine",
            steps: &[
                "join 3 1; fence c0 1; owner 3 => none 2 Quarantine; restart",
                "join 3 1 => invalid-change; join 3 2; owner 3 => 3 3 Quarantine",
            ],
        },
        Case {
            failure: "a delayed or resent fence affecting the process on the replaced VM",
            steps: &[
                "join 3 1; @f fence c0; join 3 2; owner 3 => 3 3 Quarantine; @f fence c0",
                "fence c0 1; owner 3 => 3 3 Quarantine",
                "fence c0 7; join 3 7 => invalid-change; owner 3 => 3 3 Quarantine",
            ],
        },
        Case {
            failure: "a leaving process receiving endpoints, or joining after its own leave",
            steps: &[
                "join 3 1; leave 3 1; owner 3 => 3 1 Clean; release 3 3 1",
                "owner 3 => none 2 Clean; join 3 1 => invalid-change; leave 3 2",
                "join 3 2 => invalid-change; join 3 3; owner 3 => 3 3 Clean",
            ],
        },
    ];
    cases.iter().for_each(run_case);
}

#[test]
fn claim_scenarios() {
    let cases = [
        Case {
            failure: "an action running twice, or another request receiving its response",
            steps: &[
                "join 0 1; join 3 5; claim k 1 0/1/1 => Granted; claim k 1 0/1/1 => Granted",
                "claim k 1 3/5/1 => InProgress; claim k 2 3/5/1 => BodyMismatch",
                "complete k 3/5/1 => not-found; restart; complete k 0/1/1; give-up k 0/1/1",
                "unknown k 0/1/1; lookup k => Completed; claim k 1 3/5/1 => Completed",
                "lookup other => NotFound",
            ],
        },
        Case {
            failure: "a claim staying granted after its own release, in either order",
            steps: &[
                "join 0 1; give-up k 0/1/1; restart",
                "claim k 1 0/1/1 => deadline-before-dispatch; claim k 1 0/1/2 => Granted",
                "give-up k 0/1/1; lookup k => InProgress; give-up k 0/1/2",
                "claim k 1 0/1/2 => deadline-before-dispatch; wait 2h",
                "claim k 1 0/1/1 => deadline-before-dispatch; claim k 1 0/1/3 => Granted",
            ],
        },
        Case {
            failure: "a claim passing to another attempt when its process is lost",
            steps: &[
                "join 0 1; join 3 5; claim k 1 0/1/1 => Granted; claim l 1 0/1/2 => Granted",
                "join 0 2; lookup k => Unknown; claim k 1 0/2/1 => Unknown",
                "claim m 1 0/1/3 => draining; complete k 0/1/1; lookup k => Completed",
                "give-up l 0/1/2; claim l 1 3/5/1 => Granted; fence c0; lookup l => Unknown",
            ],
        },
        Case {
            failure: "a response or a digest removed before its retention ends, or kept forever",
            steps: &[
                "join 0 1; claim k 1 0/1/1 => Granted; complete k 0/1/1; wait 24h-1",
                "lookup k => Completed; wait 1; lookup k => Unknown",
                "claim k 1 0/1/2 => Unknown; restart; wait 2160h-1",
                "claim k 1 0/1/2 => Unknown; wait 1h; claim k 1 0/1/3 => Granted",
            ],
        },
        Case {
            failure: "a digest that is not found once newer digests follow it, or after a restart",
            steps: &[
                "join 0 1; claim k 1 0/1/1 => Granted; wait 25h; claim l 1 0/1/2 => Granted; wait 25h",
                "claim m 1 0/1/3 => Granted; wait 25h; lookup k => Unknown; lookup l => Unknown",
                "restart; lookup k => Unknown; claim l 1 0/1/4 => Unknown; wait 2120h",
                "lookup k => NotFound; lookup l => Unknown; lookup m => Unknown",
            ],
        },
        Case {
            failure: "an incorrect wall clock of a leader making the state expire claims",
            steps: &[
                "join 0 1; claim k 1 0/1/1 => Granted; jump 9600h; wait 1; jump -9600h",
                "wait 1; lookup k => InProgress",
            ],
        },
        Case {
            failure: "keys outside the limits in the state",
            steps: &[
                "join 0 1; claim -0 1 0/1/1 => bad-request; claim -256 1 0/1/1 => bad-request",
                "claim -255 1 0/1/1 => Granted",
            ],
        },
    ];
    cases.iter().for_each(run_case);
}

/// Guards against preferred owners outside the failure domain while it has an active entry. Also
/// guards against a hash that assigns all endpoints to one entry, or that moves endpoints of
/// entries that remain active.
#[test]
fn preferred_owners_are_local_balanced_and_stable() {
    let mut replica = TestReplica::new();
    for i in 0..64u16 {
        let name = format!("e{i}");
        let endpoint = endpoint(&name, 0, 5000 + i);
        replica.propose(&name, CommandKind::AddEndpoint { endpoint });
    }
    let find_preferred_owners = |replica: &TestReplica| -> Vec<Option<EntryId>> {
        let config = replica.state.config();
        let all = config.topology.endpoint_ids().skip(4);
        all.map(|id| preferred_owner(config, id)).collect()
    };
    assert_eq!(find_preferred_owners(&replica), vec![None; 64]);
    replica.propose("", entry_join(2, 1));
    assert_eq!(find_preferred_owners(&replica), vec![Some(EntryId(2)); 64]);
    replica.propose("", entry_join(0, 1));
    replica.propose("", entry_join(1, 1));
    let before_leave = find_preferred_owners(&replica);
    let at_a0 = before_leave
        .iter()
        .filter(|o| **o == Some(EntryId(0)))
        .count();
    assert!(
        (16..=48).contains(&at_a0),
        "entry a0 is preferred for {at_a0} of 64 endpoints"
    );
    assert!(before_leave.iter().all(|o| *o != Some(EntryId(2))));
    replica.propose("", entry_leave(1, 1));
    for (before, after) in before_leave
        .into_iter()
        .zip(find_preferred_owners(&replica))
    {
        assert!(before == after || before == Some(EntryId(1)));
    }
}
