//! Guards against accepted configurations that are late, lost or reverted, and against lost or
//! doubled changes when operators race and resend.

use awc::Client;
use mangospindle_harness::{Cluster, ClusterSpec, Example, Fault, Node, wait_until};
use mangospindle_model::EntryId;
use nix::sys::signal::Signal;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::time::Duration;

/// Bound for an accepted change to be in force at every reachable entry, from the design page.
const IN_FORCE_BOUND: Duration = Duration::from_secs(4);

/// Longest wait for a new leader and the like; generous, because other tests may use the machine.
const REPAIR_LIMIT: Duration = Duration::from_secs(30);

#[derive(Clone, Debug, PartialEq)]
struct Answer {
    status: u16,
    body: Value,
}

/// Replaces the hedging delay of a profile through one control replica.
async fn put(
    cluster: &Cluster,
    replica: u16,
    key: &str,
    base: u64,
    delay_ms: u64,
) -> Option<Answer> {
    let address = cluster.admin_address(replica);
    let body = json!({
        "name": "quiet-season",
        "weights": {"latency": 1.0, "headroom": 0.2, "drain": 0.2},
        "cross_region_limit": 60,
        "pace_start": 0.1,
        "pace_growth": 1.5,
        "retry_budget": 0.2,
        "hedging": {"mode": "after", "delay_ms": delay_ms},
        "queue_timeout_ms": 200,
        "shed_order": ["read", "upload", "at_most_once"]
    });
    let req = Client::builder()
        .timeout(Duration::from_secs(5))
        .finish()
        .put(format!("http://{address}/v1/profiles/quiet-season"))
        .insert_header(("if-match", format!("\"{base}\"")))
        .insert_header(("idempotency-key", key));
    let mut answer = req.send_json(&body).await.ok()?;
    Some(Answer {
        status: answer.status().as_u16(),
        body: answer.json().await.unwrap_or_default(),
    })
}

/// Repeats a change with the same key at one replica after the other until it has a definite
/// result.
async fn put_until_definite(cluster: &Cluster, key: &str, base: u64, delay_ms: u64) -> Answer {
    let mut replica = 0;
    loop {
        replica = replica % 5 + 1;
        match put(cluster, replica, key, base, delay_ms).await {
            Some(answer) if answer.status < 500 => return answer,
            _ => actix_rt::time::sleep(Duration::from_millis(100)).await,
        }
    }
}

async fn get(url: String) -> Option<Value> {
    let client = Client::builder().timeout(Duration::from_secs(2)).finish();
    let mut answer = client.get(url).send().await.ok()?;
    answer.json().await.ok()
}

async fn profile_version(cluster: &Cluster, replica: u16) -> Option<u64> {
    let address = cluster.admin_address(replica);
    let profile = get(format!("http://{address}/v1/profiles/quiet-season")).await?;
    profile["version"].as_u64()
}

async fn entry_version(cluster: &Cluster, entry: u16) -> u64 {
    let address = cluster.topology().entries[usize::from(entry)].public_address;
    let lookup = get(format!("http://{address}/v1/lookup?service=galeradas")).await;
    lookup
        .and_then(|l| l["config_version"].as_u64())
        .unwrap_or(0)
}

async fn start() -> Cluster {
    let mut spec = ClusterSpec::new(Example::Cantabrica);
    spec.latencies = true;
    let cluster = Cluster::start(spec).await.expect("cluster starts");
    let ready = wait_until("administration answers", REPAIR_LIMIT, || async {
        profile_version(&cluster, 1).await.is_some()
    });
    ready.await.expect("administration answers");
    cluster
}

#[actix_rt::test]
async fn one_of_two_racing_operators_wins() {
    let cluster = start().await;
    for round in 0..5 {
        let base = profile_version(&cluster, 1).await.expect("version");
        let (key_a, key_b) = (format!("a-{round}"), format!("b-{round}"));
        let (a, b) = futures::join!(
            put(&cluster, 1, &key_a, base, 100 + round),
            put(&cluster, 4, &key_b, base, 200 + round),
        );
        let (a, b) = (a.expect("answered"), b.expect("answered"));
        let mut statuses = [a.status, b.status];
        statuses.sort_unstable();
        assert_eq!(statuses, [200, 412], "{a:?} {b:?}");
        let (winner, loser) = if a.status == 200 { (&a, &b) } else { (&b, &a) };
        assert_eq!(loser.body["current_version"], base + 1, "{loser:?}");
        // Both resend after their answers were lost, through other replicas.
        let again_a = put(&cluster, 2, &key_a, base, 100 + round)
            .await
            .expect("answered");
        let again_b = put(&cluster, 3, &key_b, base, 200 + round)
            .await
            .expect("answered");
        let again = if a.status == 200 { &again_a } else { &again_b };
        assert_eq!(again.status, 200, "{again:?}");
        assert_eq!(again.body, winner.body, "a resend gets the first result");
        let again = if a.status == 200 { &again_b } else { &again_a };
        assert_eq!(again.status, 412, "{again:?}");
        let now = profile_version(&cluster, 5).await.expect("version");
        assert_eq!(now, base + 1, "the resends changed nothing");
    }
}

/// What fails while a change is made.
#[derive(Clone, Copy, Debug)]
enum Failure {
    Nothing,
    KillReplica(u16),
    FreezeReplica(u16),
    CutOffRegion(u16),
    KillEntry(u16),
}

#[actix_rt::test]
async fn accepted_changes_are_in_force_and_never_revert() {
    let mut cluster = start().await;
    let failures = [
        Failure::Nothing,
        Failure::KillReplica(1),
        Failure::KillReplica(2),
        Failure::FreezeReplica(3),
        Failure::CutOffRegion(1),
        Failure::KillEntry(8),
        Failure::KillReplica(4),
        Failure::CutOffRegion(0),
    ];
    let mut seen: BTreeMap<u16, u64> = BTreeMap::new();
    let mut base = profile_version(&cluster, 1).await.expect("version");
    for (i, failure) in failures.into_iter().enumerate() {
        let cut = fail(&mut cluster, failure);
        let key = format!("change-{i}");
        let limit = actix_rt::time::timeout(
            REPAIR_LIMIT,
            put_until_definite(&cluster, &key, base, 300 + i as u64),
        );
        let answer = limit.await.expect("accepted in time");
        assert_eq!(answer.status, 200, "{failure:?}: {answer:?}");
        base += 1;
        let version = answer.body["version"].as_u64().expect("version");
        let reachable: Vec<u16> = (0..9)
            .filter(|e| !matches!(failure, Failure::KillEntry(k) if k == *e))
            .filter(|e| cut.is_none_or(|r| cluster.topology().entry_region(EntryId(*e)).0 != r))
            .collect();
        for entry in reachable {
            let in_force = wait_until("in force", IN_FORCE_BOUND, || async {
                entry_version(&cluster, entry).await >= version
            });
            in_force
                .await
                .unwrap_or_else(|e| panic!("{failure:?}, entry {entry}: {e}"));
        }
        never_reverts(&cluster, &mut seen).await;
        heal(&mut cluster, failure).await;
        never_reverts(&cluster, &mut seen).await;
    }
    for replica in 1..=5 {
        let caught_up = wait_until("replica has the change", REPAIR_LIMIT, || async {
            profile_version(&cluster, replica).await == Some(base)
        });
        caught_up
            .await
            .expect("every replica answers with the last version");
    }
}

/// Applies a failure; returns the region that is cut off, if any.
fn fail(cluster: &mut Cluster, failure: Failure) -> Option<u16> {
    match failure {
        Failure::Nothing => None,
        Failure::KillReplica(r) => cluster
            .kill(Node::Control(r))
            .map(|()| None)
            .expect("killed"),
        Failure::FreezeReplica(r) => {
            let replica = cluster.process(Node::Control(r)).expect("runs");
            replica.signal(Signal::SIGSTOP).expect("stopped");
            None
        }
        Failure::CutOffRegion(region) => {
            let domains = cluster.domains_of_region(region);
            cluster.set_partition(&domains, Fault::CUT);
            Some(region)
        }
        Failure::KillEntry(e) => cluster.kill(Node::Entry(e)).map(|()| None).expect("killed"),
    }
}

async fn heal(cluster: &mut Cluster, failure: Failure) {
    match failure {
        Failure::Nothing => {}
        Failure::KillReplica(r) => cluster.start_control(r).expect("restarted"),
        Failure::FreezeReplica(r) => {
            let replica = cluster.process(Node::Control(r)).expect("runs");
            replica.signal(Signal::SIGCONT).expect("continued");
        }
        Failure::CutOffRegion(region) => {
            let domains = cluster.domains_of_region(region);
            cluster.set_partition(&domains, Fault::default());
        }
        Failure::KillEntry(e) => {
            cluster.start_entry(EntryId(e)).expect("restarted");
            cluster.wait_ready(EntryId(e)).await.expect("ready");
        }
    }
    actix_rt::time::sleep(Duration::from_secs(1)).await;
}

/// Asks every entry for its version and compares it with the one seen before.
async fn never_reverts(cluster: &Cluster, seen: &mut BTreeMap<u16, u64>) {
    for entry in 0..9 {
        let version = entry_version(cluster, entry).await;
        // An entry that does not run, or has just started, has none.
        if version > 0 {
            let before = seen.insert(entry, version).unwrap_or(0);
            assert!(
                version >= before,
                "entry {entry} went from {before} to {version}"
            );
        }
    }
}

#[actix_rt::test]
async fn lost_disk_and_a_second_loss_after_the_repair() {
    let mut cluster = start().await;
    let mut base = profile_version(&cluster, 1).await.expect("version");
    // One disk is lost, then two further replicas die after the repair: three of five are left.
    cluster.kill(Node::Control(1)).expect("killed");
    std::fs::remove_dir_all(cluster.data_dir(1)).expect("data directory lost");
    let answer = put_until_definite(&cluster, "during-the-loss", base, 501).await;
    assert_eq!(answer.status, 200, "{answer:?}");
    base += 1;
    cluster.start_control(1).expect("restarted");
    let repaired = wait_until("the replica is repaired", REPAIR_LIMIT, || async {
        profile_version(&cluster, 1).await == Some(base)
    });
    repaired.await.expect("repaired");
    // The new member must count: with 2 and 3 gone, 1, 4 and 5 are the majority.
    actix_rt::time::sleep(Duration::from_secs(3)).await;
    for replica in [2, 3] {
        cluster.kill(Node::Control(replica)).expect("killed");
    }
    let limit = put_until_definite(&cluster, "after-the-repair", base, 502);
    let answer = actix_rt::time::timeout(REPAIR_LIMIT, limit)
        .await
        .expect("accepted");
    assert_eq!(answer.status, 200, "{answer:?}");
    base += 1;
    // One more loss than is survived: nothing is accepted any more, and nothing is made up.
    cluster.kill(Node::Control(4)).expect("killed");
    actix_rt::time::sleep(Duration::from_secs(3)).await;
    for replica in [1, 5] {
        let answer = put(&cluster, replica, "one-too-many", base, 503).await;
        let answer = answer.expect("answered");
        assert!(answer.status >= 500, "replica {replica}: {answer:?}");
        assert_eq!(
            profile_version(&cluster, replica).await,
            None,
            "no answer as if current"
        );
    }
}
