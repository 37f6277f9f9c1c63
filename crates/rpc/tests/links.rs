//! Connections over loopback sockets.

#![allow(clippy::unwrap_used)] // Helper functions fail the test by panicking.

#[path = "support/fake_service.rs"]
mod fake_service;
#[path = "support/faulty_proxy.rs"]
mod faulty_proxy;

use fake_service::FakeService;
use faulty_proxy::FaultyProxy;
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

const TEST_TIMEOUT: Duration = Duration::from_secs(20);

fn run_local<F>(test: F)
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

async fn start_server(service: &Rc<FakeService>) -> SocketAddr {
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

fn start_client(replicas: Vec<SocketAddr>) -> ControlClient {
    let settings = ControlClientSettings {
        replicas,
        clock: clock(),
        report: None,
    };
    ControlClient::start(settings).unwrap()
}

async fn wait_until<F>(timeout_message: &str, condition: F)
where
    F: Fn() -> bool,
{
    let wait = async {
        while !condition() {
            sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(TEST_TIMEOUT, wait).await.expect(timeout_message);
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

/// Guards against fields that are lost or swapped on the wire, and against snapshots that are
/// truncated or assembled incorrectly at chunk boundaries.
#[test]
fn messages_keep_their_content_on_the_wire() {
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
    run_local(async {
        let service = Rc::new(FakeService::new(1));
        let address = start_server(&service).await;
        let link = PeerLink::start(address, clock(), TrafficCounters::default());
        sleep(Duration::from_millis(50)).await;
        for kind in cases {
            let sent = message(kind);
            link.send(sent.clone());
            wait_until("no message was delivered", || {
                !service.delivered.borrow().is_empty()
            })
            .await;
            assert_eq!(service.delivered.take(), vec![sent]);
        }
    });
}

/// Guards against a replica that keeps using a silent connection. It must reach the other replica
/// over a new connection within twice the shortest election timeout.
#[test]
fn silent_peer_connection_is_replaced() {
    run_local(async {
        let service = Rc::new(FakeService::new(1));
        let proxy = FaultyProxy::start(start_server(&service).await).await;
        let link = PeerLink::start(proxy.address, clock(), TrafficCounters::default());
        for _ in 0..3 {
            let heartbeats = async {
                while service.delivered.borrow().is_empty() {
                    link.send(message(MessageKind::TimeoutNow));
                    sleep(Duration::from_millis(100)).await;
                }
            };
            timeout(Duration::from_secs(1), heartbeats).await.unwrap();
            proxy.stall_connections();
            sleep(Duration::from_millis(20)).await;
            service.delivered.borrow_mut().clear();
        }
    });
}

/// Guards against a client that stays connected to an unresponsive or cut-off replica, and against
/// a client whose version decreases after a failover.
#[test]
fn client_fails_over_and_its_version_never_decreases() {
    struct Case {
        name: &'static str,
        fault: fn(&FakeService, &FaultyProxy),
    }
    let cases = [
        Case {
            name: "silent",
            fault: |_, proxy| proxy.stall_connections(),
        },
        Case {
            name: "closed",
            fault: |_, proxy| proxy.close_connections(),
        },
        Case {
            name: "cut off",
            fault: |service, _| service.state_age.set(Some(Duration::from_millis(2100))),
        },
        Case {
            name: "never confirmed",
            fault: |service, _| service.state_age.set(None),
        },
    ];
    run_local(async {
        for Case { name, fault } in cases {
            let first = Rc::new(FakeService::new(7));
            let second = Rc::new(FakeService::new(5));
            let proxy = FaultyProxy::start(start_server(&first).await).await;
            let second_address = start_server(&second).await;
            let client = start_client(vec![proxy.address, second_address]);
            let view = || client.view();
            wait_until(name, || view().replica == Some(proxy.address)).await;
            assert_eq!(view().config.version, 7, "{name}");
            fault(&first, &proxy);
            wait_until(name, || view().replica == Some(second_address)).await;
            assert_eq!(view().config.version, 7, "{name}");
            second.version.set(8);
            wait_until(name, || view().config.version == 8).await;
        }
    });
}

/// Guards against a command that may have been sent being reported as not accepted, and against a
/// command that is certain to be in no log being reported as unknown.
#[test]
fn propose_distinguishes_not_accepted_from_unknown() {
    struct Case {
        name: &'static str,
        result: Option<ProposeResult>,
        has_replica: bool,
        close_connections: bool,
        key_bytes: usize,
        expected: ProposeResult,
    }
    let done = ProposeResult::Outcome(Outcome::Done { version: 3 });
    let case = |name, result, expected| Case {
        name,
        result,
        has_replica: true,
        close_connections: false,
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
            close_connections: true,
            ..case("closed", None, ProposeResult::Unknown)
        },
        Case {
            has_replica: false,
            ..case("no replica", None, ProposeResult::NotAccepted)
        },
        Case {
            key_bytes: MAX_COMMAND_BYTES,
            ..case("too large", None, ProposeResult::NotAccepted)
        },
    ];
    run_local(async {
        for case in cases {
            let service = Rc::new(FakeService::new(1));
            *service.propose_result.borrow_mut() = case.result;
            let proxy = FaultyProxy::start(start_server(&service).await).await;
            let unused_listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let unused_address = unused_listener.local_addr().unwrap();
            drop(unused_listener);
            let client = start_client(vec![match case.has_replica {
                true => proxy.address,
                false => unused_address,
            }]);
            let command = Command {
                request: RequestId("r".repeat(case.key_bytes)),
                actor: Actor::Process("test".to_string()),
                leader_time_ms: 0,
                kind: CommandKind::Expire,
            };
            if case.has_replica {
                wait_until(case.name, || client.view().replica.is_some()).await;
            }
            // Only a proposal without a final result lasts until its time limit.
            let answered = case.expected != ProposeResult::NotAccepted
                && (case.close_connections || service.propose_result.borrow().is_some());
            let time_limit = match answered {
                true => TEST_TIMEOUT,
                false => Duration::from_millis(400),
            };
            let close_connections = async {
                wait_until("no proposal arrived", || service.proposal_count.get() > 0).await;
                proxy.close_connections();
                std::future::pending::<ProposeResult>().await
            };
            let result = tokio::select! {
                result = client.propose(&command, time_limit) => result,
                result = close_connections, if case.close_connections => result,
            };
            assert_eq!(result, case.expected, "{}", case.name);
            let key = ClaimKey {
                service: ServiceId(1),
                key: "k".to_string(),
            };
            let answer = match case.has_replica && !case.close_connections {
                true => QueryResult::Answer(ClaimOutcome::Unknown),
                false => continue,
            };
            assert_eq!(
                client.query_claim(&key, TEST_TIMEOUT).await,
                answer,
                "{}",
                case.name
            );
        }
    });
}
