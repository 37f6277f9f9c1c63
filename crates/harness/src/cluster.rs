use crate::cluster_settings::ClusterSettings;
use crate::{ClusterSpec, Fault, Node, PortBlock, Process, Proxy, Standins, wait_until};
use awc::Client;
use mangospindle_bench::{LoadPlan, MAX_TRIED, Route, Traffic, UPLOAD_DEADLINE};
use mangospindle_model::{EntryId, FailureDomainId, Topology};
use miette::{IntoDiagnostic, Result, miette};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;
use tempfile::TempDir;

/// Longest time for all processes of a cluster to become ready. Generous, because other tests may
/// use the machine.
const START_LIMIT: Duration = Duration::from_secs(60);

/// A running deployment on loopback.
pub struct Cluster {
    processes: BTreeMap<Node, Process>,
    standin_processes: Vec<Process>,
    /// The stand-ins.
    pub standins: Standins,
    /// The proxy between all processes.
    pub proxy: Proxy,
    // Holds the port block, which another test may take as soon as it is dropped: after everything
    // that listens in it.
    settings: ClusterSettings,
    // Removed last.
    directory: TempDir,
}

impl Cluster {
    /// Starts stand-ins, control replicas and entries, and waits until all entries are ready.
    pub async fn start(spec: ClusterSpec) -> Result<Self> {
        let directory = tempfile::tempdir().into_diagnostic()?;
        let settings = ClusterSettings::write(spec, PortBlock::take()?, directory.path())?;
        let proxy = Proxy::new()?;
        for link in &settings.proxied {
            proxy.add(link.key, link.listen, link.target, link.latency)?;
        }
        let regions = 0..settings.topology.regions.len();
        let standins = Standins {
            admin: regions.map(|r| settings.standin_admin(r)).collect(),
            vm_list: settings.vm_list(),
        };
        let mut cluster = Cluster {
            settings,
            proxy,
            processes: BTreeMap::new(),
            standin_processes: Vec::new(),
            standins,
            directory,
        };
        cluster.start_standins()?;
        for replica in 1..=cluster.settings.spec.control_replicas {
            cluster.start_control(replica)?;
        }
        for entry in cluster.topology().entry_ids() {
            cluster.start_entry(entry)?;
        }
        for entry in cluster.topology().entry_ids() {
            cluster.wait_ready(entry).await?;
        }
        Ok(cluster)
    }

    /// The deployment's topology, as the processes see it.
    pub fn topology(&self) -> &Topology {
        &self.settings.topology
    }

    /// Directory with settings, logs and data directories.
    pub fn directory(&self) -> &Path {
        self.directory.path()
    }

    /// Data directory of a control replica.
    pub fn data_dir(&self, replica: u16) -> PathBuf {
        self.directory().join(format!("control-{replica}"))
    }

    /// Address of a control replica's administration API.
    pub fn admin_address(&self, replica: u16) -> SocketAddr {
        self.settings.control_admin(replica)
    }

    /// Public address of an entry.
    pub fn entry_address(&self, entry: EntryId) -> SocketAddr {
        self.topology().entries[entry.index()].public_address
    }

    /// Starts a control replica that does not run.
    pub fn start_control(&mut self, replica: u16) -> Result<()> {
        let file = self.settings.write_control(replica)?;
        self.start_process(Node::Control(replica), "mangospindle-control", &file)
    }

    /// Starts an entry that does not run.
    pub fn start_entry(&mut self, entry: EntryId) -> Result<()> {
        let file = self.settings.write_entry(entry)?;
        self.start_process(Node::Entry(entry.0), "mangospindle-entry", &file)
    }

    fn start_process(&mut self, node: Node, binary: &str, settings: &Path) -> Result<()> {
        let args = ["--settings".to_string(), settings.display().to_string()];
        let log = settings.with_extension("log");
        let process = Process::start(binary, &args, &log)?;
        self.processes.insert(node, process);
        Ok(())
    }

    fn start_standins(&mut self) -> Result<()> {
        let file = self.directory().join("endpoints.jsonc");
        let deployment = ["--deployment".to_string(), file.display().to_string()];
        let topology = self.topology().clone();
        for region in 0..topology.regions.len() {
            let mut args = vec!["endpoints".to_string()];
            args.extend(deployment.clone());
            args.extend([
                "--admin".into(),
                self.settings.standin_admin(region).to_string(),
            ]);
            let time = self.settings.spec.service_time_ms.to_string();
            args.extend(["--service-time-ms".into(), time]);
            for domain in &topology.failure_domains {
                if domain.region.index() == region {
                    args.extend(["--failure-domain".into(), domain.name.clone()]);
                }
            }
            let log = self.directory().join(format!("standin-{region}.log"));
            let process = Process::start("mangospindle-standin", &args, &log)?;
            self.standin_processes.push(process);
        }
        let mut args = vec!["vm-list".to_string()];
        args.extend(deployment);
        args.extend(["--listen".into(), self.settings.vm_list().to_string()]);
        let log = self.directory().join("vm-list.log");
        let process = Process::start("mangospindle-standin", &args, &log)?;
        self.standin_processes.push(process);
        Ok(())
    }

    /// Waits until an entry says that it is ready.
    pub async fn wait_ready(&self, entry: EntryId) -> Result<()> {
        let url = format!("http://{}/readyz", self.entry_address(entry));
        let name = &self.topology().entries[entry.index()].name;
        let what = format!("{name} is ready");
        let ready = wait_until(&what, START_LIMIT, || async {
            let answer = Client::default().get(&url).send().await;
            answer.is_ok_and(|a| a.status().is_success())
        });
        ready.await.map_err(|e| {
            let process = self.processes.get(&Node::Entry(entry.0));
            let (state, log) = process.map(|p| (p.state(), p.log())).unwrap_or_default();
            miette!("{e}\n{state}\n{log}")
        })
    }

    /// A running process.
    pub fn process(&mut self, node: Node) -> Result<&mut Process> {
        let found = self.processes.get_mut(&node);
        found.ok_or_else(|| miette!("{node:?} does not run"))
    }

    /// Kills a process.
    pub fn kill(&mut self, node: Node) -> Result<()> {
        self.process(node)?.kill()?;
        self.processes.remove(&node);
        Ok(())
    }

    /// Cuts a group of failure domains off from the others, or heals the cut. Callers still reach
    /// all entries, and entries the endpoints of their failure domain.
    pub fn set_partition(&self, domains: &[FailureDomainId], fault: Fault) {
        let inside = |node: Node| domains.contains(&self.settings.domain(node));
        (self.proxy).set_where(|key| inside(key.from) != inside(key.to), fault);
    }

    /// Loses a failure domain: its processes are killed and its endpoints cannot be reached.
    pub fn lose_domain(&mut self, domain: FailureDomainId) -> Result<()> {
        let nodes: Vec<Node> = (self.processes.keys().copied())
            .filter(|node| self.settings.domain(*node) == domain)
            .collect();
        for node in nodes {
            self.kill(node)?;
        }
        let lost = |node| node == Node::Endpoints(domain.0);
        (self.proxy).set_where(|key| lost(key.from) || lost(key.to), Fault::CUT);
        Ok(())
    }

    /// One-way latencies from the clients of each region (first position) to each region (second
    /// position), for [`LoadPlan::one_way`].
    pub fn client_latencies(&self) -> Vec<Vec<Duration>> {
        let client = self.settings.spec.example.client_latency();
        let regions = self.topology().regions.len();
        let between = |from: usize, to: usize| {
            let mut links = self.topology().links.iter();
            let link = links.find(|l| l.from.index() == from && l.to.index() == to);
            client + Duration::from_micros(link.map_or(0, |l| u64::from(l.latency_us)))
        };
        let row = |from| (0..regions).map(|to| between(from, to)).collect();
        (0..regions).map(row).collect()
    }

    /// Failure domains of a region.
    pub fn domains_of_region(&self, region: u16) -> Vec<FailureDomainId> {
        let domains = self.topology().failure_domains.iter().enumerate();
        domains
            .filter(|(_, d)| d.region.0 == region)
            .map(|(i, _)| FailureDomainId(i as u16))
            .collect()
    }

    /// A load over all entries with the traffic mix of the deployment.
    pub fn load(&self, rate_per_region: f64, duration: Duration, seed: u64) -> LoadPlan {
        LoadPlan {
            topology: self.topology().clone(),
            entries: (self.topology().entries.iter())
                .map(|e| e.public_address)
                .collect(),
            traffic: Traffic::mix(self.topology(), rate_per_region),
            duration,
            callers_per_region: 8,
            deadline: Duration::from_secs(5),
            upload_deadline: UPLOAD_DEADLINE,
            max_tried: MAX_TRIED,
            route: Route::Lookup,
            one_way: Vec::new(),
            seed,
        }
    }
}
