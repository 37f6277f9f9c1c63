//! Settings files and addresses of a cluster.

use crate::{ClusterSpec, LinkKey, Node, PortBlock};
use mangospindle_model::{EntryId, FailureDomainId, Topology};
use miette::{IntoDiagnostic, Result, miette};
use serde_json::json;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Offsets of ports in a block. Entries and endpoints keep the offsets of the example files: 1 to 9
/// public, 101 to 109 internal, 201 to 248 endpoints.
const STANDIN_ADMIN: u16 = 300;
const VM_LIST: u16 = 310;
const CONTROL_RPC: u16 = 320;
const CONTROL_ADMIN: u16 = 330;
const PROXIED: u16 = 400;
/// Endpoints are reached through the proxy at this distance from their own ports.
const ENDPOINT_PROXY: u16 = 700;
const ENDPOINT_FIRST: u16 = 200;

/// Failure domains of the control replicas, by position: two regions with two, one with one.
const CONTROL_DOMAINS: [u16; 5] = [0, 2, 4, 1, 3];

/// A link that the proxy serves.
pub(crate) struct ProxiedLink {
    pub(crate) key: LinkKey,
    pub(crate) listen: SocketAddr,
    pub(crate) target: SocketAddr,
    pub(crate) latency: Duration,
}

/// Addresses and files of a cluster.
pub(crate) struct ClusterSettings {
    pub(crate) ports: PortBlock,
    pub(crate) spec: ClusterSpec,
    pub(crate) topology: Topology,
    pub(crate) directory: PathBuf,
    links: BTreeMap<(Node, Node), SocketAddr>,
    pub(crate) proxied: Vec<ProxiedLink>,
}

impl ClusterSettings {
    pub(crate) fn write(spec: ClusterSpec, ports: PortBlock, directory: &Path) -> Result<Self> {
        let example = spec.example;
        let path = Path::new(env!("CARGO_MANIFEST_DIR"))
            .join("../../examples")
            .join(example.directory())
            .join("deployment.jsonc");
        let mut text = std::fs::read_to_string(path).into_diagnostic()?;
        for (old, new) in &spec.replace {
            if !text.contains(old) {
                return Err(miette!("the deployment file does not contain `{old}`"));
            }
            text = text.replace(old, new);
        }
        let direct = move_ports(&text, example.first_port(), ports.base(), |_| 0);
        let through_proxy = move_ports(&text, example.first_port(), ports.base(), |offset| {
            if offset >= ENDPOINT_FIRST {
                ENDPOINT_PROXY
            } else {
                0
            }
        });
        let file = directory.join("endpoints.jsonc");
        std::fs::write(&file, direct).into_diagnostic()?;
        let served = mangospindle_settings::Deployment::load(&file)?.topology;
        let file = directory.join("deployment.jsonc");
        std::fs::write(&file, through_proxy).into_diagnostic()?;
        let topology = mangospindle_settings::Deployment::load(&file)?.topology;
        let mut settings = ClusterSettings {
            ports,
            spec,
            topology,
            directory: directory.to_path_buf(),
            links: BTreeMap::new(),
            proxied: Vec::new(),
        };
        settings.plan_links(&served);
        Ok(settings)
    }

    fn plan_links(&mut self, served: &Topology) {
        let entries: Vec<Node> = (self.topology.entry_ids())
            .map(|e| Node::Entry(e.0))
            .collect();
        let controls: Vec<Node> = (0..self.spec.control_replicas)
            .map(|r| Node::Control(r + 1))
            .collect();
        let mut next = PROXIED;
        for from in entries.iter().chain(&controls) {
            for to in entries.iter().chain(&controls) {
                let needed =
                    from != to && !matches!((from, to), (Node::Control(_), Node::Entry(_)));
                if needed {
                    let listen = self.ports.address(next);
                    next += 1;
                    self.links.insert((*from, *to), listen);
                    self.proxied.push(ProxiedLink {
                        key: LinkKey {
                            from: *from,
                            to: *to,
                        },
                        listen,
                        target: self.target(*to),
                        latency: self.latency(*from, *to),
                    });
                }
            }
        }
        // The connections of all entries to an endpoint share a listener, so that their common key
        // names only the failure domain. The sender is the first entry of the failure domain.
        for (endpoint, direct) in self.topology.endpoints.iter().zip(&served.endpoints) {
            let domain = endpoint.failure_domain;
            let entry = self
                .topology
                .entries
                .iter()
                .position(|e| e.failure_domain == domain);
            let from = Node::Entry(entry.unwrap_or_default() as u16);
            let to = Node::Endpoints(domain.0);
            self.proxied.push(ProxiedLink {
                key: LinkKey { from, to },
                listen: endpoint.address,
                target: direct.address,
                latency: Duration::ZERO,
            });
        }
    }

    fn target(&self, node: Node) -> SocketAddr {
        match node {
            Node::Entry(e) => self.topology.entries[usize::from(e)].internal_address,
            Node::Control(r) => self.control_rpc(r),
            Node::Endpoints(_) => self.ports.address(ENDPOINT_FIRST),
        }
    }

    /// Failure domain of a node.
    pub(crate) fn domain(&self, node: Node) -> FailureDomainId {
        match node {
            Node::Entry(e) => self.topology.entries[usize::from(e)].failure_domain,
            Node::Control(r) => FailureDomainId(CONTROL_DOMAINS[usize::from(r - 1)]),
            Node::Endpoints(d) => FailureDomainId(d),
        }
    }

    fn latency(&self, from: Node, to: Node) -> Duration {
        let (a, b) = (self.domain(from), self.domain(to));
        let (ra, rb) = (self.topology.region_of(a), self.topology.region_of(b));
        let link = (self.topology.links.iter()).find(|l| l.from == ra && l.to == rb);
        match self.spec.latencies {
            false => Duration::ZERO,
            true if a == b => Duration::ZERO,
            true if ra == rb => self.spec.example.domain_latency(),
            true => Duration::from_micros(link.map_or(0, |l| u64::from(l.latency_us))),
        }
    }

    pub(crate) fn control_rpc(&self, replica: u16) -> SocketAddr {
        self.ports.address(CONTROL_RPC + replica)
    }

    pub(crate) fn control_admin(&self, replica: u16) -> SocketAddr {
        self.ports.address(CONTROL_ADMIN + replica)
    }

    pub(crate) fn standin_admin(&self, region: usize) -> SocketAddr {
        self.ports.address(STANDIN_ADMIN + region as u16)
    }

    pub(crate) fn vm_list(&self) -> SocketAddr {
        self.ports.address(VM_LIST)
    }

    pub(crate) fn write_control(&self, replica: u16) -> Result<PathBuf> {
        let address = |r: u16| match r == replica {
            true => self.control_rpc(r),
            false => self.links[&(Node::Control(replica), Node::Control(r))],
        };
        let replicas: Vec<_> = (1..=self.spec.control_replicas)
            .map(|r| json!({"replica": r, "address": address(r)}))
            .collect();
        let domain = self.domain(Node::Control(replica));
        let settings = json!({
            "replica": replica,
            "failure_domain": self.topology.failure_domains[domain.index()].name,
            "data_dir": format!("control-{replica}"),
            "rpc_listen": self.control_rpc(replica),
            "admin_listen": self.control_admin(replica),
            "replicas": replicas,
            "deployment": "deployment.jsonc",
            "vm_list": format!("http://{}/vms", self.vm_list()),
        });
        self.write_json(&format!("control-{replica}.jsonc"), &settings)
    }

    pub(crate) fn write_entry(&self, id: EntryId) -> Result<PathBuf> {
        let entry = &self.topology.entries[id.index()];
        let own = Node::Entry(id.0);
        let overrides: BTreeMap<&str, SocketAddr> = (self.topology.entry_ids())
            .filter(|other| *other != id)
            .map(|other| {
                let name = self.topology.entries[other.index()].name.as_str();
                (name, self.links[&(own, Node::Entry(other.0))])
            })
            .collect();
        let mut control: Vec<u16> = (1..=self.spec.control_replicas).collect();
        control.sort_by_key(|r| {
            let domain = self.domain(Node::Control(*r));
            let region = self.topology.region_of(domain);
            (
                domain != entry.failure_domain,
                region != self.topology.entry_region(id),
                *r,
            )
        });
        let control: Vec<SocketAddr> = (control.iter())
            .map(|r| self.links[&(own, Node::Control(*r))])
            .collect();
        let settings = json!({
            "name": entry.name,
            "failure_domain": self.topology.failure_domains[entry.failure_domain.index()].name,
            "public_listen": entry.public_address,
            "internal_listen": entry.internal_address,
            "control": control,
            "vm_list": format!("http://{}/vms", self.vm_list()),
            "address_overrides": overrides,
        });
        self.write_json(&format!("{}.jsonc", entry.name), &settings)
    }

    fn write_json(&self, name: &str, value: &serde_json::Value) -> Result<PathBuf> {
        let path = self.directory.join(name);
        std::fs::write(&path, value.to_string()).into_diagnostic()?;
        Ok(path)
    }
}

/// Moves all loopback ports of an example file to a block, plus a further distance by offset.
fn move_ports<F>(text: &str, first_port: u16, base: u16, further: F) -> String
where
    F: Fn(u16) -> u16,
{
    const PREFIX: &str = "127.0.0.1:";
    let mut out = String::new();
    let mut rest = text;
    while let Some(i) = rest.find(PREFIX) {
        let (before, after) = rest.split_at(i + PREFIX.len());
        let digits = after.len() - after.trim_start_matches(|c: char| c.is_ascii_digit()).len();
        let port: u16 = after[..digits].parse().unwrap_or(first_port);
        let offset = port.saturating_sub(first_port);
        out.push_str(before);
        out.push_str(&(base + offset + further(offset)).to_string());
        rest = &after[digits..];
    }
    out.push_str(rest);
    out
}
