//! Connections between real sockets on loopback.

#![allow(clippy::unwrap_used)] // Helpers outside test functions fail the test.

#[path = "support/fake_service.rs"]
mod fake_service;
#[path = "support/forwarder.rs"]
mod forwarder;

use fake_service::FakeService;
use forwarder::Forwarder;
use mangospindle_consensus::{
    Entry, Member, Membership, Message, MessageKind, Payload, ReplicaId, Snapshot, StorageId,
};
use mangospindle_model::{Clock, MonotonicClock, ServiceId};
use mangospindle_rpc::{
    ControlClient, ControlClientSettings, MAX_COMMAND_BYTES, PeerLink, ProposeResult, QueryResult,
    SNAPSHOT_CHUNK_BYTES, TrafficCounters, serve,
};
use mangospindle_state::{Actor, ClaimKey, ClaimOutcome, Command, CommandKind, Outcome, RequestId};
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{sleep, timeout};

const LIMIT: Duration = Duration::from_secs(20);

fn run<F>(test: F)
where
    F: Future<Output = ()>,
{
    let mut builder = tokio::runtime::Builder::new_current_thread();
    let runtime = builder.enable_all().build().unwrap();
    runtime.block_on(LocalSet::new().run_until(test));
}

fn clock() -> Arc<dyn Clock> {
    Arc::new(MonotonicClock::new())
}

async fn start(service: &Rc<FakeService>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    spawn_local(serve(
        listener,
        service.clone(),
        clock(),
        TrafficCounters::default(),
    ));
    address
}

fn client(replicas: Vec<SocketAddr>) -> ControlClient {
    let settings = ControlClientSettings {
        replicas,
        clock: clock(),
        report: None,
    };
    ControlClient::start(settings).unwrap()
}

async fn wait_for<F>(what: &str, condition: F)
where
    F: Fn() -> bool,
{
    let wait = async {
        while !condition() {
            sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(LIMIT, wait).await.expect(what);
}

fn member(replica: u32) -> Member {
    Member {
        replica: ReplicaId(replica),
        storage: StorageId(uuid::Uuid::from_u128(u128::from(replica) << 70 | 7)),
    }
}

fn message(kind: MessageKind) -> Message {
    Message {
        from: member(1),
        to: member(2),
        term: 9,
        kind,
    }
}

fn snapshot(bytes: usize) -> MessageKind {
    MessageKind::InstallSnapshot {
        snapshot: Snapshot {
            index: 70,
            term: 8,
            membership: Membership {
                voters: vec![member(1), member(2)],
                learners: vec![member(3)],
            },
            data: (0..bytes).map(|i| (i % 251) as u8).collect(),
        },
        round: 3,
    }
}

/// Guards against fields that are lost or mixed up on the wire, and against snapshots that are cut
/// or assembled wrongly at chunk boundaries.
#[test]
fn messages_arrive_as_they_were_sent() {
    let entry = |index, payload| Entry {
        index,
        term: 4,
        payload,
    };
    let append = |entries| MessageKind::Append {
        prev_index: 1,
        prev_term: 2,
        entries,
        commit: 3,
        round: 4,
        echo_ms: 5,
        confirmed_age_ms: u64::MAX,
    };
    let membership = Membership {
        voters: vec![member(4)],
        learners: vec![],
    };
    let entries = vec![
        entry(2, Payload::Noop),
        entry(3, Payload::Command(vec![1, 2, 3])),
        entry(4, Payload::Membership(membership)),
    ];
    let cases = vec![
        append(vec![]),
        append(entries),
        MessageKind::Vote {
            last_index: 1,
            last_term: 2,
            transfer: true,
        },
        MessageKind::TimeoutNow,
        MessageKind::Hello {
            formation: None,
            formed: true,
            members: vec![ReplicaId(7)],
        },
        snapshot(0),
        snapshot(SNAPSHOT_CHUNK_BYTES),
        snapshot(SNAPSHOT_CHUNK_BYTES * 3 + 1),
    ];
    run(async {
        let service = Rc::new(FakeService::new(1));
        let address = start(&service).await;
        let link = PeerLink::start(address, clock(), TrafficCounters::default());
        sleep(Duration::from_millis(50)).await;
        for kind in cases {
            let sent = message(kind);
            link.send(sent.clone());
            wait_for("a message", || !service.delivered.borrow().is_empty()).await;
            assert_eq!(service.delivered.take(), vec![sent]);
        }
    });
}

/// Guards against a replica that keeps using a connection which went silent: it must reach the
/// other replica over a new one before the shortest election timeout has passed twice.
#[test]
fn a_silent_peer_connection_is_replaced() {
    run(async {
        let service = Rc::new(FakeService::new(1));
        let forwarder = Forwarder::start(start(&service).await).await;
        let link = PeerLink::start(forwarder.address, clock(), TrafficCounters::default());
        for _ in 0..3 {
            let heartbeats = async {
                while service.delivered.borrow().is_empty() {
                    link.send(message(MessageKind::TimeoutNow));
                    sleep(Duration::from_millis(100)).await;
                }
            };
            timeout(Duration::from_secs(1), heartbeats).await.unwrap();
            forwarder.silence();
            sleep(Duration::from_millis(20)).await;
            service.delivered.borrow_mut().clear();
        }
    });
}

/// Guards against a client that stays with a replica that does not answer or is cut off, and
/// against one that presents a lower version after it has moved on.
#[test]
fn a_client_moves_on_and_never_goes_back() {
    struct Case {
        name: &'static str,
        fault: fn(&FakeService, &Forwarder),
    }
    let cases = [
        Case {
            name: "silent",
            fault: |_, forwarder| forwarder.silence(),
        },
        Case {
            name: "closed",
            fault: |_, forwarder| forwarder.close(),
        },
        Case {
            name: "cut off",
            fault: |service, _| service.age.set(Some(Duration::from_millis(2100))),
        },
        Case {
            name: "never confirmed",
            fault: |service, _| service.age.set(None),
        },
    ];
    run(async {
        for Case { name, fault } in cases {
            let first = Rc::new(FakeService::new(7));
            let second = Rc::new(FakeService::new(5));
            let forwarder = Forwarder::start(start(&first).await).await;
            let second_address = start(&second).await;
            let client = client(vec![forwarder.address, second_address]);
            let view = || client.view();
            wait_for(name, || view().replica == Some(forwarder.address)).await;
            assert_eq!(view().config.version, 7, "{name}");
            fault(&first, &forwarder);
            wait_for(name, || view().replica == Some(second_address)).await;
            assert_eq!(view().config.version, 7, "{name}");
            second.version.set(8);
            wait_for(name, || view().config.version == 8).await;
        }
    });
}

/// Guards against a command that may have left the process being reported as in no log, and
/// against a command that surely is in no log being reported as unknown.
#[test]
fn not_accepted_and_unknown_are_told_apart() {
    struct Case {
        name: &'static str,
        result: Option<ProposeResult>,
        listening: bool,
        close: bool,
        key_bytes: usize,
        expected: ProposeResult,
    }
    let done = ProposeResult::Outcome(Outcome::Done { version: 3 });
    let case = |name, result, expected| Case {
        name,
        result,
        listening: true,
        close: false,
        key_bytes: 10,
        expected,
    };
    let cases = [
        case("accepted", Some(done.clone()), done),
        case(
            "refused",
            Some(ProposeResult::NotAccepted),
            ProposeResult::NotAccepted,
        ),
        case(
            "unknown",
            Some(ProposeResult::Unknown),
            ProposeResult::Unknown,
        ),
        case("no answer in time", None, ProposeResult::Unknown),
        Case {
            close: true,
            ..case("closed", None, ProposeResult::Unknown)
        },
        Case {
            listening: false,
            ..case("no replica", None, ProposeResult::NotAccepted)
        },
        Case {
            key_bytes: MAX_COMMAND_BYTES,
            ..case("too large", None, ProposeResult::NotAccepted)
        },
    ];
    run(async {
        for case in cases {
            let service = Rc::new(FakeService::new(1));
            *service.result.borrow_mut() = case.result;
            let forwarder = Forwarder::start(start(&service).await).await;
            let unused = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let nobody = unused.local_addr().unwrap();
            drop(unused);
            let client = client(vec![match case.listening {
                true => forwarder.address,
                false => nobody,
            }]);
            let command = Command {
                request: RequestId("r".repeat(case.key_bytes)),
                actor: Actor::Process("test".to_string()),
                leader_time_ms: 0,
                kind: CommandKind::Expire,
            };
            if case.listening {
                wait_for(case.name, || client.view().replica.is_some()).await;
            }
            // Only a proposal without a final answer lasts until its time is over.
            let answered = case.expected != ProposeResult::NotAccepted
                && (case.close || service.result.borrow().is_some());
            let time = match answered {
                true => LIMIT,
                false => Duration::from_millis(400),
            };
            let close = async {
                wait_for("a proposal", || service.proposed.get() > 0).await;
                forwarder.close();
                std::future::pending::<ProposeResult>().await
            };
            let result = tokio::select! {
                result = client.propose(&command, time) => result,
                result = close, if case.close => result,
            };
            assert_eq!(result, case.expected, "{}", case.name);
            let key = ClaimKey {
                service: ServiceId(1),
                key: "k".to_string(),
            };
            let answer = match case.listening && !case.close {
                true => QueryResult::Answer(ClaimOutcome::Unknown),
                false => continue,
            };
            assert_eq!(
                client.query_claim(&key, LIMIT).await,
                answer,
                "{}",
                case.name
            );
        }
    });
}
