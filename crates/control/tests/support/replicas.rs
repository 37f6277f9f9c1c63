use crate::commands::join;
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

/// Bound of waits for a condition. Other tests may use the machine.
pub const LIMIT: Duration = Duration::from_secs(60);

const RPC: u16 = 0;
const ADMIN: u16 = 100;

/// Control replicas as processes, numbered from 1.
pub struct Replicas {
    pub count: u16,
    running: BTreeMap<u16, Process>,
    ports: PortBlock,
    clock: Arc<dyn Clock>,
    vm_list: Option<String>,
    directory: TempDir,
}

impl Replicas {
    /// Starts all replicas and waits until they have the first configuration.
    pub async fn start(count: u16) -> Self {
        Self::start_with(count, None).await
    }

    pub async fn start_with(count: u16, vm_list: Option<String>) -> Self {
        let mut replicas = Replicas {
            count,
            running: BTreeMap::new(),
            ports: PortBlock::take().unwrap(),
            clock: Arc::new(MonotonicClock::new()),
            vm_list,
            directory: tempfile::tempdir().unwrap(),
        };
        for replica in 1..=count {
            replicas.start_replica(replica);
        }
        for replica in 1..=count {
            replicas.wait_metric(replica, "version", |v| v >= 1.0).await;
        }
        replicas
    }

    pub fn all(&self) -> Vec<u16> {
        (1..=self.count).collect()
    }

    pub fn rpc(&self, replica: u16) -> SocketAddr {
        self.ports.address(RPC + replica)
    }

    pub fn admin(&self, replica: u16) -> SocketAddr {
        self.ports.address(ADMIN + replica)
    }

    pub fn data_dir(&self, replica: u16) -> PathBuf {
        self.directory.path().join(format!("data-{replica}"))
    }

    pub fn start_replica(&mut self, replica: u16) {
        let deployment = Path::new(env!("CARGO_MANIFEST_DIR"))
            .join("../../examples/cantabrica/deployment.jsonc");
        let list: Vec<_> = (self.all().iter())
            .map(|r| json!({"replica": r, "address": self.rpc(*r)}))
            .collect();
        let mut settings = json!({
            "replica": replica,
            "failure_domain": "test",
            "data_dir": self.data_dir(replica),
            "rpc_listen": self.rpc(replica),
            "admin_listen": self.admin(replica),
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
        self.running.insert(replica, process.unwrap());
    }

    fn log_path(&self, replica: u16) -> PathBuf {
        self.directory.path().join(format!("control-{replica}.log"))
    }

    pub fn log(&self, replica: u16) -> String {
        std::fs::read_to_string(self.log_path(replica)).unwrap()
    }

    pub fn pid(&self, replica: u16) -> u32 {
        self.running[&replica].pid()
    }

    pub fn kill(&mut self, replica: u16) {
        self.running.remove(&replica).unwrap().kill().unwrap();
    }

    pub fn signal(&self, replica: u16, signal: Signal) {
        self.running[&replica].signal(signal).unwrap();
    }

    /// Sends SIGTERM and returns the exit code.
    pub async fn terminate(&mut self, replica: u16) -> Option<i32> {
        let mut process = self.running.remove(&replica).unwrap();
        process.signal(Signal::SIGTERM).unwrap();
        for _ in 0..600 {
            if let Some(status) = process.try_wait().unwrap() {
                return status.code();
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        None
    }

    /// Removes the data directory of a replica that does not run.
    pub fn lose_data(&self, replica: u16) {
        assert!(!self.running.contains_key(&replica));
        std::fs::remove_dir_all(self.data_dir(replica)).unwrap();
    }

    /// A client that uses these replicas, in this order.
    pub fn client(&self, replicas: &[u16]) -> ControlClient {
        let settings = ControlClientSettings {
            replicas: replicas.iter().map(|r| self.rpc(*r)).collect(),
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

    /// Lets the entry process join that makes the claims.
    pub async fn join(&self, client: &ControlClient) {
        let result = client.propose(&join(), LIMIT).await;
        let done = matches!(result, ProposeResult::Outcome(Outcome::Done { .. }));
        assert!(done, "{result:?}");
    }

    /// A metric of a replica, without its common prefix; with labels as in the text format.
    pub async fn metric(&self, replica: u16, name: &str) -> Option<f64> {
        let url = format!("http://{}/metrics", self.admin(replica));
        let client = Client::builder().timeout(Duration::from_secs(2)).finish();
        let body = client.get(url).send().await.ok()?.body().await.ok()?;
        let text = String::from_utf8(body.to_vec()).ok()?;
        let line = text.lines().find_map(|l| {
            let (key, value) = l.strip_prefix("mangospindle_control_")?.split_once(' ')?;
            (key == name).then(|| value.to_string())
        })?;
        line.parse().ok()
    }

    pub async fn wait_metric(&self, replica: u16, name: &str, wanted: fn(f64) -> bool) {
        let what = format!("{name} of replica {replica}");
        let holds = || async { self.metric(replica, name).await.is_some_and(wanted) };
        if let Err(e) = wait_until(&what, LIMIT, holds).await {
            panic!("{e}\n{}", self.log(replica));
        }
    }

    /// The replica that leads and is confirmed by a majority.
    pub async fn leader(&self) -> u16 {
        let mut found = 0;
        for _ in 0..600 {
            for replica in self.running.keys().copied() {
                let leads = self.metric(replica, "role").await == Some(4.0);
                if leads && self.metric(replica, "cut_off").await == Some(0.0) {
                    found = replica;
                }
            }
            if found != 0 {
                return found;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        panic!("no leader");
    }

    pub fn runs(&self, replica: u16) -> bool {
        self.running.contains_key(&replica)
    }

    pub fn start_missing(&mut self) {
        for replica in self.all() {
            if !self.runs(replica) {
                self.start_replica(replica);
            }
        }
    }

    /// The replica that says that it leads, else any that runs.
    pub async fn leader_or_any(&self) -> u16 {
        for replica in self.running.keys().copied() {
            if self.metric(replica, "role").await == Some(4.0) {
                return replica;
            }
        }
        *self.running.keys().next().unwrap()
    }

    /// A running replica that does not lead.
    pub async fn follower(&self) -> u16 {
        let leader = self.leader().await;
        *self.running.keys().find(|r| **r != leader).unwrap()
    }
}
