//! Tests of operators' orders that reach the leader after newer ones.
//!
//! The binary `mangospindle-control` must be built first; `cargo test --workspace` builds it.

#![allow(clippy::unwrap_used)] // A panic in a helper fails the test.

#[allow(dead_code)] // Each test crate uses only some of the helpers.
#[path = "support/commands.rs"]
mod commands;
#[allow(dead_code)] // Each test crate uses only some of the helpers.
#[path = "support/replica_cluster.rs"]
mod replica_cluster;

use mangospindle_model::EndpointId;
use mangospindle_rpc::{ControlClient, PeerLink, ProposeResult, TrafficCounters};
use mangospindle_state::{Actor, Command, CommandKind, Config, Outcome, RequestId};
use replica_cluster::{ReplicaCluster, WAIT_TIMEOUT, run_on_actix, wait_for_version};
use std::time::Duration;

const DOMAIN: &str = "test";
const ENDPOINT: EndpointId = EndpointId(0);

fn evacuation(evacuate: bool) -> CommandKind {
    CommandKind::SetEvacuation {
        failure_domain: DOMAIN.to_string(),
        evacuate,
    }
}

fn drain(drain: bool) -> CommandKind {
    CommandKind::SetEndpointDrain {
        endpoint: ENDPOINT,
        drain,
    }
}

fn is_evacuated(config: &Config) -> bool {
    config.evacuated.contains(DOMAIN)
}

fn is_drained(config: &Config) -> bool {
    config.endpoint_drain[ENDPOINT.index()]
}

fn order(request: &str, kind: CommandKind) -> Command {
    Command {
        request: RequestId(request.to_string()),
        actor: Actor::Operator("test".to_string()),
        leader_time_ms: 0,
        kind,
    }
}

/// Proposes orders of an operator, each of which is acknowledged. Returns the last version.
async fn acknowledge(client: &ControlClient, name: &str, kinds: &[CommandKind]) -> u64 {
    let mut last = 0;
    for (n, kind) in kinds.iter().enumerate() {
        let command = order(&format!("{name}-{n}"), kind.clone());
        match client.propose(&command, WAIT_TIMEOUT).await {
            ProposeResult::Outcome(Outcome::Done { version }) => last = version,
            other => panic!("{name}: {other:?}"),
        }
    }
    last
}

/// Proposes an order to the leader like a replica that had applied `based_on` when it got the order.
async fn forward(link: &PeerLink, command: &Command, based_on: u64) -> ProposeResult {
    let encoded = postcard::to_stdvec(command).unwrap();
    for _ in 0..200 {
        // Not accepted without a connection.
        match link.propose(&encoded, Some(based_on)).await {
            ProposeResult::NotAccepted => tokio::time::sleep(Duration::from_millis(20)).await,
            result => return result,
        }
    }
    panic!("the leader accepts no proposal");
}

/// Guards against an order that was delayed, for instance by a cut or in a paused replica, and undoes a
/// newer, acknowledged order when it arrives.
#[test]
fn delayed_orders_do_not_undo_newer_ones() {
    struct Case {
        name: &'static str,
        before: Vec<CommandKind>,
        /// Orders after the delayed one was sent.
        newer: Vec<CommandKind>,
        late: CommandKind,
        /// What the newest order set.
        holds: fn(&Config) -> bool,
    }
    let cases = [
        Case {
            name: "the end of an evacuation",
            before: vec![evacuation(true)],
            newer: vec![evacuation(false), evacuation(true)],
            late: evacuation(false),
            holds: is_evacuated,
        },
        Case {
            name: "the end of an evacuation, after an order that changed nothing",
            before: vec![evacuation(true)],
            newer: vec![evacuation(true)],
            late: evacuation(false),
            holds: is_evacuated,
        },
        Case {
            name: "an evacuation",
            before: vec![evacuation(false)],
            newer: vec![evacuation(true), evacuation(false)],
            late: evacuation(true),
            holds: |config| !is_evacuated(config),
        },
        Case {
            name: "the end of a drain",
            before: vec![drain(true)],
            newer: vec![drain(false), drain(true)],
            late: drain(false),
            holds: is_drained,
        },
    ];
    run_on_actix(async {
        let cluster = ReplicaCluster::start(3).await;
        let client = cluster.client(&cluster.all());
        let leader = cluster.leader().await;
        let address = cluster.rpc_address(leader);
        let link = PeerLink::start(address, cluster.clock(), TrafficCounters::default());
        for (c, case) in cases.iter().enumerate() {
            acknowledge(&client, &format!("{c}-before"), &case.before).await;
            let based_on = cluster.metric(leader, "applied_index").await.unwrap() as u64;
            let version = acknowledge(&client, &format!("{c}-newer"), &case.newer).await;
            let late = order(&format!("{c}-late"), case.late.clone());
            let result = forward(&link, &late, based_on).await;
            assert_eq!(result, ProposeResult::Outdated, "{}", case.name);
            wait_for_version(&client, version).await;
            // A change by the late order would have arrived by now.
            tokio::time::sleep(Duration::from_millis(300)).await;
            assert!((case.holds)(&client.view().config), "{}", case.name);
            // The same order sent again is accepted, and acknowledged each time.
            for attempt in 0..2 {
                let based_on = cluster.metric(leader, "applied_index").await.unwrap() as u64;
                let result = forward(&link, &late, based_on).await;
                let accepted = matches!(result, ProposeResult::Outcome(Outcome::Done { .. }));
                assert!(accepted, "{}, attempt {attempt}: {result:?}", case.name);
            }
        }
    });
}
