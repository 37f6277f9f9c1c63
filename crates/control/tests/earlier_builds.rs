//! Tests of control replicas beside replicas of the build before this one.
//!
//! The binary `mangospindle-control` must be built first; `cargo test --workspace` builds it.

#![allow(clippy::unwrap_used)] // A panic in a helper fails the test.

#[allow(dead_code)] // Each test crate uses only some of the helpers.
#[path = "support/commands.rs"]
mod commands;
#[allow(dead_code)] // Each test crate uses only some of the helpers.
#[path = "support/replica_cluster.rs"]
mod replica_cluster;
#[path = "support/replica_without_reports.rs"]
mod replica_without_reports;

use commands::change;
use mangospindle_harness::wait_until;
use mangospindle_rpc::{ControlClient, ProposeResult};
use mangospindle_state::{Actor, Command, CommandKind, Outcome, RequestId};
use replica_cluster::{ReplicaCluster, WAIT_TIMEOUT, run_on_actix, wait_for_version};
use replica_without_reports::ReplicaWithoutReports;
use std::time::Duration;

/// Time for which proposals are repeated while a replica of the earlier build answers.
const REFUSED_TIME: Duration = Duration::from_secs(2);

/// Timeout of one proposal. A proposal to a process that has just ended is lost.
const PROPOSE_TIMEOUT: Duration = Duration::from_secs(2);

/// Messages after which the stand-in counts as connected to the leader.
const CONNECTED_MESSAGES: usize = 10;

fn put_first_routes() -> Command {
    Command {
        request: RequestId("first".to_string()),
        actor: Actor::Operator("test".to_string()),
        leader_time_ms: 0,
        kind: CommandKind::PutFirstRoutes {
            table: Box::default(),
            workspaces: Box::default(),
            document: "document 0".to_string(),
        },
    }
}

async fn propose_until_accepted(client: &ControlClient, command: &Command) -> u64 {
    let accepted = async {
        loop {
            match client.propose(command, PROPOSE_TIMEOUT).await {
                ProposeResult::Outcome(Outcome::Done { version }) => return version,
                ProposeResult::Outcome(other) => panic!("{other:?}"),
                _ => tokio::time::sleep(Duration::from_millis(20)).await,
            }
        }
    };
    let accepted = tokio::time::timeout(WAIT_TIMEOUT, accepted).await;
    accepted.expect("the command is accepted")
}

/// Guards against replicas whose states differ for good, because those of the build before this one cannot
/// read the command that sets a first table with number 0 and refuse it.
#[test]
fn commands_that_a_replica_cannot_read_are_not_accepted() {
    run_on_actix(async {
        let mut cluster = ReplicaCluster::start(3).await;
        let earlier = cluster.follower().await;
        cluster.kill(earlier);
        let address = cluster.rpc_address(earlier);
        let stand_in = ReplicaWithoutReports::start(address, cluster.clock()).await;
        let connected = || async { stand_in.delivered() >= CONNECTED_MESSAGES };
        wait_until("the leader is connected", WAIT_TIMEOUT, connected)
            .await
            .unwrap();

        let others: Vec<u16> = cluster
            .all()
            .into_iter()
            .filter(|r| *r != earlier)
            .collect();
        let client = cluster.client(&others);
        // The client proposes again until the time has passed.
        let result = client.propose(&put_first_routes(), REFUSED_TIME).await;
        assert_eq!(result, ProposeResult::NotAccepted);
        // Commands that the earlier build can read are accepted, and its replica has seen no other.
        let version = propose_until_accepted(&client, &change(1)).await;
        assert_eq!(version, 2);
        let logs: Vec<String> = others.iter().map(|r| cluster.log(*r)).collect();
        assert!(logs.iter().any(|log| log.contains("command_unsupported")));

        stand_in.stop().await;
        // Connections to the stand-in stay open until the other side ends.
        others.iter().for_each(|replica| cluster.kill(*replica));
        cluster.start_stopped();
        let version = propose_until_accepted(&client, &put_first_routes()).await;
        assert_eq!(version, 3);
        for replica in cluster.all() {
            wait_for_version(&cluster.client(&[replica]), version).await;
        }
    });
}

/// Guards against a first table that is not accepted because a replica is lost.
#[test]
fn lost_replicas_do_not_keep_new_commands_from_being_accepted() {
    run_on_actix(async {
        let mut cluster = ReplicaCluster::start(3).await;
        let lost = cluster.follower().await;
        cluster.kill(lost);
        let client = cluster.client(&cluster.all());
        assert_eq!(
            propose_until_accepted(&client, &put_first_routes()).await,
            2
        );
        cluster.start_replica(lost);
        wait_for_version(&cluster.client(&[lost]), 2).await;
    });
}
