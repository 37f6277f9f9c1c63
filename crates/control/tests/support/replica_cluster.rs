use crate::commands::{change, entry_join};
use awc::Client;
use mangospindle_harness::{PortBlock, Process, wait_until};
use mangospindle_model::{Clock, MonotonicClock};
use mangospindle_rpc::{ControlClient, ControlClientSettings, ProposeResult};
use mangospindle_state::Outcome;
use nix::sys::signal::Signal;
use serde_json::json;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;
use tempfile::TempDir;

/// Timeout of waits and proposals. Generous, because other tests may load the host.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

const RPC_PORT_OFFSET: u16 = 0;
const ADMIN_PORT_OFFSET: u16 = 100;

/// Runs a test on an actix system.
pub fn run_on_actix<F>(test: F)
where
    F: Future<Output = ()>,
{
    actix_rt::System::new().block_on(test);
}

/// Commits changes and returns the version after the last one.
pub async fn commit_changes(client: &ControlClient, numbers: std::ops::Range<u64>) -> u64 {
    let mut version = 0;
    for number in numbers {
        let mut result = ProposeResult::Unknown;
        // A resend of the same request gets the first result.
        while result == ProposeResult::Unknown {
            result = client.propose(&change(number), WAIT_TIMEOUT).await;
        }
        match result {
            ProposeResult::Outcome(Outcome::Done { version: v }) => version = v,
            other => panic!("change {number}: {other:?}"),
        }
    }
    version
}

/// Waits until a client has received a version of the configuration.
pub async fn wait_for_version(client: &ControlClient, version: u64) {
    let mut views = client.subscribe();
    let reached = views.wait_for(|view| view.config.version >= version);
    tokio::time::timeout(WAIT_TIMEOUT, reached)
        .await
        .unwrap()
        .unwrap();
}

/// A cluster of control replicas that run as processes. Replicas are numbered from 1.
pub struct ReplicaCluster {
    pub count: u16,
    processes: BTreeMap<u16, Process>,
    ports: PortBlock,
    clock: Arc<dyn Clock>,
    vm_list: Option<String>,
    directory: TempDir,
}

impl ReplicaCluster {
    /// Starts all replicas and waits until they have applied the first configuration.
    pub async fn start(count: u16) -> Self {
        Self::start_with_vm_list(count, None).await
    }

    pub async fn start_with_vm_list(count: u16, vm_list: Option<String>) -> Self {
        let mut cluster = ReplicaCluster {
            count,
            processes: BTreeMap::new(),
            ports: PortBlock::take().unwrap(),
            clock: Arc::new(MonotonicClock::new()),
            vm_list,
            directory: tempfile::tempdir().unwrap(),
        };
        for replica in 1..=count {
            cluster.start_replica(replica);
        }
        for replica in 1..=count {
            cluster
                .wait_for_metric(replica, "version", |v| v >= 1.0)
                .await;
        }
        cluster
    }

    pub fn all(&self) -> Vec<u16> {
        (1..=self.count).collect()
    }

    pub fn rpc_address(&self, replica: u16) -> SocketAddr {
        self.ports.address(RPC_PORT_OFFSET + replica)
    }

    pub fn admin_address(&self, replica: u16) -> SocketAddr {
        self.ports.address(ADMIN_PORT_OFFSET + replica)
    }

    pub fn data_dir(&self, replica: u16) -> PathBuf {
        self.directory.path().join(format!("data-{replica}"))
    }

    pub fn start_replica(&mut self, replica: u16) {
        let deployment = Path::new(env!("CARGO_MANIFEST_DIR"))
            .join("../../examples/cantabrica/deployment.jsonc");
        let list: Vec<_> = (self.all().iter())
            .map(|r| json!({"replica": r, "address": self.rpc_address(*r)}))
            .collect();
        let mut settings = json!({
            "replica": replica,
            "failure_domain": "test",
            "data_dir": self.data_dir(replica),
            "rpc_listen": self.rpc_address(replica),
            "admin_listen": self.admin_address(replica),
            "replicas": list,
            "deployment": deployment,
        });
        if let Some(address) = &self.vm_list {
            settings["vm_list"] = json!(address);
        }
        let path = self
            .directory
            .path()
            .join(format!("control-{replica}.json"));
        std::fs::write(&path, settings.to_string()).unwrap();
        let args = ["--settings".to_string(), path.display().to_string()];
        let process = Process::start("mangospindle-control", &args, &self.log_path(replica));
        self.processes.insert(replica, process.unwrap());
    }

    fn log_path(&self, replica: u16) -> PathBuf {
        self.directory.path().join(format!("control-{replica}.log"))
    }

    pub fn log(&self, replica: u16) -> String {
        std::fs::read_to_string(self.log_path(replica)).unwrap()
    }

    pub fn pid(&self, replica: u16) -> u32 {
        self.processes[&replica].pid()
    }

    pub fn kill(&mut self, replica: u16) {
        self.processes.remove(&replica).unwrap().kill().unwrap();
    }

    pub fn signal(&self, replica: u16, signal: Signal) {
        self.processes[&replica].signal(signal).unwrap();
    }

    /// Sends SIGTERM and returns the exit code.
    pub async fn terminate(&mut self, replica: u16) -> Option<i32> {
        let mut process = self.processes.remove(&replica).unwrap();
        process.signal(Signal::SIGTERM).unwrap();
        for _ in 0..600 {
            if let Some(status) = process.try_wait().unwrap() {
                return status.code();
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        None
    }

    /// Deletes the data directory of a replica that is not running.
    pub fn delete_data(&self, replica: u16) {
        assert!(!self.processes.contains_key(&replica));
        std::fs::remove_dir_all(self.data_dir(replica)).unwrap();
    }

    /// Starts a client that uses the given replicas in the given order.
    pub fn client(&self, replicas: &[u16]) -> ControlClient {
        let settings = ControlClientSettings {
            replicas: replicas.iter().map(|r| self.rpc_address(*r)).collect(),
            clock: Arc::clone(&self.clock),
            report: None,
        };
        ControlClient::start(settings).unwrap()
    }

    pub fn clock(&self) -> Arc<dyn Clock> {
        Arc::clone(&self.clock)
    }

    pub fn now(&self) -> Duration {
        self.clock.now()
    }

    /// Joins the entry process that makes the claims.
    pub async fn join_entry(&self, client: &ControlClient) {
        let result = client.propose(&entry_join(), WAIT_TIMEOUT).await;
        let accepted = matches!(result, ProposeResult::Outcome(Outcome::Done { .. }));
        assert!(accepted, "{result:?}");
    }

    /// Reads a metric of a replica. `name` is given without the common prefix, and with labels as in the
    /// text format.
    pub async fn metric(&self, replica: u16, name: &str) -> Option<f64> {
        let url = format!("http://{}/metrics", self.admin_address(replica));
        let client = Client::builder().timeout(Duration::from_secs(2)).finish();
        let body = client.get(url).send().await.ok()?.body().await.ok()?;
        let text = String::from_utf8(body.to_vec()).ok()?;
        let line = text.lines().find_map(|l| {
            let (key, value) = l.strip_prefix("mangospindle_control_")?.split_once(' ')?;
            (key == name).then(|| value.to_string())
        })?;
        line.parse().ok()
    }

    pub async fn wait_for_metric(&self, replica: u16, name: &str, predicate: fn(f64) -> bool) {
        let what = format!("{name} of replica {replica}");
        let condition = || async { self.metric(replica, name).await.is_some_and(predicate) };
        if let Err(e) = wait_until(&what, WAIT_TIMEOUT, condition).await {
            panic!("{e}\n{}", self.log(replica));
        }
    }

    /// Waits for a leader that is confirmed by a majority and returns it.
    pub async fn leader(&self) -> u16 {
        let mut confirmed_leader = 0;
        for _ in 0..600 {
            for replica in self.processes.keys().copied() {
                let leads = self.metric(replica, "role").await == Some(4.0);
                if leads && self.metric(replica, "cut_off").await == Some(0.0) {
                    confirmed_leader = replica;
                }
            }
            if confirmed_leader != 0 {
                return confirmed_leader;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        panic!("no leader");
    }

    pub fn is_running(&self, replica: u16) -> bool {
        self.processes.contains_key(&replica)
    }

    pub fn start_stopped(&mut self) {
        for replica in self.all() {
            if !self.is_running(replica) {
                self.start_replica(replica);
            }
        }
    }

    /// Returns a replica that reports itself as leader, or any running replica if there is none.
    pub async fn leader_or_any(&self) -> u16 {
        for replica in self.processes.keys().copied() {
            if self.metric(replica, "role").await == Some(4.0) {
                return replica;
            }
        }
        *self.processes.keys().next().unwrap()
    }

    /// Returns a running replica that is not the leader.
    pub async fn follower(&self) -> u16 {
        let leader = self.leader().await;
        *self.processes.keys().find(|r| **r != leader).unwrap()
    }
}
