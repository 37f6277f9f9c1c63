//! Tests of single rules of one node, for orders of events that random schedules rarely reach.

use mangospindle_consensus::*;
use std::time::Duration;
use uuid::Uuid;

const NOW: Duration = Duration::from_secs(5);

fn member(replica: u32) -> Member {
    Member {
        replica: ReplicaId(replica),
        storage: StorageId(Uuid::from_u128(u128::from(replica) + 1)),
    }
}

fn membership(replicas: &[u32]) -> Membership {
    Membership {
        voters: replicas.iter().map(|r| member(*r)).collect(),
        learners: Vec::new(),
    }
}

fn entry(index: u64, term: u64, payload: Payload) -> Entry {
    Entry {
        index,
        term,
        payload,
    }
}

fn message(term: u64, kind: MessageKind) -> Input {
    Input::Message(Message {
        from: member(1),
        to: member(0),
        term,
        kind,
    })
}

fn vote_request(term: u64) -> MessageKind {
    MessageKind::Vote {
        last_index: 9,
        last_term: term - 1,
        transfer: true,
    }
}

fn append_request(prev_index: u64, entry: Entry) -> MessageKind {
    MessageKind::Append {
        prev_index,
        prev_term: 1,
        entries: vec![entry],
        commit: 0,
        round: 1,
        echo_ms: 0,
        confirmed_age_ms: u64::MAX,
    }
}

fn append_reply(index: u64) -> MessageKind {
    MessageKind::AppendReply {
        accepted: true,
        index,
        round: 1,
        sent_ms: 1,
    }
}

fn formation_hello() -> MessageKind {
    MessageKind::Hello {
        formation: Some(Formation {
            ballot: 5,
            voters: membership(&[0, 1, 2]).voters,
            complete: false,
        }),
        formed: false,
        members: Vec::new(),
    }
}

/// Returns a node of a cluster of three in term 2, whose log has these payloads of term 2.
fn node(payloads: Vec<Payload>) -> Node {
    let first = entry(1, 1, Payload::Membership(membership(&[0, 1, 2])));
    let rest = payloads.into_iter().zip(2..);
    let recovered = RecoveredState {
        hard_state: HardState {
            term: 2,
            ..HardState::default()
        },
        snapshot: None,
        entries: [first]
            .into_iter()
            .chain(rest.map(|(payload, index)| entry(index, 2, payload)))
            .collect(),
    };
    start_node(recovered)
}

fn start_node(recovered: RecoveredState) -> Node {
    let settings = NodeSettings {
        member: member(0),
        replicas: (0..3).map(ReplicaId).collect(),
        open_membership: false,
        tolerated_losses: None,
        may_form: true,
        timing: Timing::default(),
    };
    Node::new(settings, recovered, 1, Duration::ZERO).expect("the recovered log should be valid")
}

/// Returns the node after it has won the election of term 3 and appended its first entry.
fn leader(payloads: Vec<Payload>) -> Node {
    elect(node(payloads))
}

fn elect(mut node: Node) -> Node {
    node.step(NOW, Input::Tick);
    let granted = true;
    node.step(NOW, message(3, MessageKind::PreVoteReply { granted }));
    node.step(NOW, message(3, MessageKind::VoteReply { granted }));
    assert_eq!(node.role(), Role::Leader);
    node
}

fn change_membership(number: u64, replicas: &[u32]) -> Input {
    Input::ChangeMembership {
        id: ProposalId(number),
        membership: membership(replicas),
    }
}

fn has_rejection(outputs: &[Output]) -> bool {
    let error = ProposalError::Rejected;
    let mut outputs = outputs.iter();
    outputs.any(|o| matches!(o, Output::ProposalFailed { error: e, .. } if *e == error))
}

fn message_position(outputs: &[Output], kind: fn(&MessageKind) -> bool) -> Option<usize> {
    let mut outputs = outputs.iter();
    outputs.position(|o| matches!(o, Output::Send(message) if kind(&message.kind)))
}

fn granted_vote_position(outputs: &[Output]) -> Option<usize> {
    message_position(outputs, |k| {
        matches!(k, MessageKind::VoteReply { granted: true })
    })
}

struct Case {
    /// The failure that the case guards against.
    name: &'static str,
    holds: fn() -> bool,
}

const CASES: &[Case] = &[
    Case {
        name: "an entry of an earlier term is committed by counting its replicas",
        holds: || {
            let mut node = leader(vec![Payload::Noop]);
            node.step(NOW, message(3, append_reply(2)));
            let before = node.commit_index();
            node.step(NOW, Input::Persisted { index: 3, term: 3 });
            node.step(NOW, message(3, append_reply(3)));
            before == 0 && node.commit_index() == 3
        },
    },
    Case {
        name: "the membership changes before an entry of the current term is committed",
        holds: || {
            let mut node = node(vec![]);
            let mut heartbeat_interval = append_request(1, entry(2, 2, Payload::Noop));
            if let MessageKind::Append {
                entries, commit, ..
            } = &mut heartbeat_interval
            {
                entries.clear();
                *commit = 1;
            }
            node.step(Duration::ZERO, message(2, heartbeat_interval));
            let mut node = elect(node);
            node.commit_index() == 1
                && has_rejection(&node.step(NOW, change_membership(1, &[0, 1])))
        },
    },
    Case {
        name: "a membership change starts while the previous one is not committed",
        holds: || {
            let mut node = leader(vec![]);
            node.step(NOW, Input::Persisted { index: 2, term: 3 });
            node.step(NOW, message(3, append_reply(2)));
            let first = has_rejection(&node.step(NOW, change_membership(1, &[0, 1])));
            !first && has_rejection(&node.step(NOW, change_membership(2, &[0])))
        },
    },
    Case {
        name: "a membership change removes two voters at once",
        holds: || {
            let mut node = leader(vec![]);
            node.step(NOW, Input::Persisted { index: 2, term: 3 });
            node.step(NOW, message(3, append_reply(2)));
            has_rejection(&node.step(NOW, change_membership(1, &[0])))
        },
    },
    Case {
        name: "a vote is sent before it is persisted, or never persisted",
        holds: || {
            let outputs = node(vec![]).step(NOW, message(3, vote_request(3)));
            let persisted = outputs.iter().position(
                |o| matches!(o, Output::PersistHardState(s) if s.voted_for == Some(member(1))),
            );
            persisted.is_some() && persisted < granted_vote_position(&outputs)
        },
    },
    Case {
        name: "a node without a membership grants a vote",
        holds: || {
            granted_vote_position(
                &start_node(RecoveredState::default()).step(NOW, message(3, vote_request(3))),
            )
            .is_none()
        },
    },
    Case {
        name: "the acceptance of an initial membership is sent before it is persisted",
        holds: || {
            let outputs =
                start_node(RecoveredState::default()).step(NOW, message(0, formation_hello()));
            let persisted = outputs
                .iter()
                .position(|o| matches!(o, Output::PersistHardState(s) if s.formation.is_some()));
            let reply = message_position(&outputs, |k| matches!(k, MessageKind::Hello { .. }));
            persisted.is_some() && persisted < reply
        },
    },
    Case {
        name: "a node with a membership accepts an initial membership",
        holds: || {
            let outputs = node(vec![]).step(NOW, message(0, formation_hello()));
            let mut outputs = outputs.iter();
            !outputs.any(|o| matches!(o, Output::PersistHardState(_)))
        },
    },
    Case {
        name: "a node replies to a message for another storage of its replica",
        holds: || {
            let Input::Message(mut request) = message(3, vote_request(3)) else {
                return false;
            };
            request.to.storage = member(7).storage;
            granted_vote_position(&node(vec![]).step(NOW, Input::Message(request))).is_none()
        },
    },
    Case {
        name: "an entry counts as synced because the entry that it replaced was synced",
        holds: || {
            let mut node = node(vec![]);
            let old = append_request(1, entry(2, 2, Payload::Noop));
            node.step(NOW, message(2, old));
            let new = append_request(1, entry(2, 3, Payload::Noop));
            node.step(NOW, message(3, new));
            let acknowledges = |outputs: Vec<Output>| {
                let second =
                    |k: &MessageKind| matches!(k, MessageKind::AppendReply { index: 2, .. });
                message_position(&outputs, second).is_some()
            };
            let stale = node.step(NOW, Input::Persisted { index: 2, term: 2 });
            let synced = node.step(NOW, Input::Persisted { index: 2, term: 3 });
            !acknowledges(stale) && acknowledges(synced)
        },
    },
    Case {
        name: "a membership stays in effect after its entry was replaced",
        holds: || {
            let mut node = node(vec![Payload::Membership(membership(&[0, 1]))]);
            let before = node.membership().voters.len();
            node.step(
                NOW,
                message(3, append_request(1, entry(2, 3, Payload::Noop))),
            );
            before == 2 && node.membership().voters.len() == 3
        },
    },
];

#[test]
fn single_node_rules_hold() {
    for case in CASES {
        assert!((case.holds)(), "{}", case.name);
    }
}

/// Guards against repeated split votes after a restart of all replicas, when all voters start an
/// election at the same time.
#[test]
fn voters_stagger_their_elections_after_a_restart() {
    let first_pre_vote_ms = |replica: u32| {
        let first = entry(1, 1, Payload::Membership(membership(&[0, 1, 2])));
        let recovered = RecoveredState {
            hard_state: HardState {
                term: 2,
                ..HardState::default()
            },
            snapshot: None,
            entries: vec![first],
        };
        let settings = NodeSettings {
            member: member(replica),
            replicas: (0..3).map(ReplicaId).collect(),
            open_membership: false,
            tolerated_losses: None,
            may_form: true,
            timing: Timing::default(),
        };
        let mut node = Node::new(settings, recovered, 1, Duration::ZERO)
            .expect("the recovered log should be valid");
        let sends_pre_vote = |node: &mut Node, ms: u64| {
            let outputs = node.step(Duration::from_millis(ms), Input::Tick);
            message_position(&outputs, |k| matches!(k, MessageKind::PreVote { .. })).is_some()
        };
        (0..1000)
            .find(|ms| sends_pre_vote(&mut node, *ms))
            .expect("the voter should send a pre-vote within a second")
    };
    let times_ms = [0, 1, 2].map(first_pre_vote_ms);
    let round_trips_ms = 80;
    assert!(times_ms[1] >= times_ms[0] + round_trips_ms, "{times_ms:?}");
    assert!(times_ms[2] >= times_ms[1] + round_trips_ms, "{times_ms:?}");
}

/// Guards against a log that keeps as many entries after a snapshot as their number allows, whatever
/// their size, and fills the memory.
#[test]
fn compaction_keeps_entries_up_to_a_size() {
    struct Case {
        command_bytes: usize,
        entries: u64,
        kept: u64,
    }
    let cases = [
        Case {
            command_bytes: 10,
            entries: 2_000,
            kept: 1_000,
        },
        Case {
            command_bytes: 1 << 20,
            entries: 40,
            kept: 3,
        },
        Case {
            command_bytes: 5 << 20,
            entries: 3,
            kept: 0,
        },
    ];
    for case in cases {
        let command = || Payload::Command(vec![7; case.command_bytes]);
        let mut node = node((0..case.entries).map(|_| command()).collect());
        let last = node.last_index();
        let heartbeat = MessageKind::Append {
            prev_index: last,
            prev_term: 2,
            entries: Vec::new(),
            commit: last,
            round: 1,
            echo_ms: 0,
            confirmed_age_ms: u64::MAX,
        };
        node.step(NOW, message(2, heartbeat));
        assert_eq!(node.commit_index(), last);
        let data = vec![1; 100];
        let outputs = node.step(NOW, Input::Compact { index: last, data });
        let is_snapshot = |o: &Output| matches!(o, Output::SaveSnapshot(s) if s.index == last);
        assert!(outputs.iter().any(is_snapshot), "{outputs:?}");
        assert_eq!(node.first_index(), last + 1 - case.kept);
        assert_eq!(node.snapshot_bytes(), 100);
        assert!(node.log_bytes() <= Timing::default().retained_bytes);
        assert!(node.log_bytes() >= case.command_bytes * case.kept as usize);
    }
}
