//! Types that mirror a deployment file.

use crate::bandwidth_text::BandwidthText;
use crate::duration_text::DurationText;
use crate::profile_file::ProfileFile;
use ipnet::IpNet;
use mangospindle_model::RequestClass;
use serde::Deserialize;
use std::net::SocketAddr;

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct DeploymentFile {
    pub(crate) regions: Vec<RegionFile>,
    pub(crate) failure_domains: Vec<FailureDomainFile>,
    pub(crate) links: Vec<LinkFile>,
    pub(crate) services: Vec<ServiceFile>,
    pub(crate) entries: Vec<EntryFile>,
    pub(crate) endpoints: Vec<EndpointsFile>,
    pub(crate) client_ranges: Vec<ClientRangeFile>,
    pub(crate) profiles: Vec<ProfileFile>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct RegionFile {
    pub(crate) name: String,
    pub(crate) max_in_progress: u32,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct FailureDomainFile {
    pub(crate) name: String,
    pub(crate) region: String,
}

/// A link in both directions.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct LinkFile {
    pub(crate) between: [String; 2],
    pub(crate) capacity: BandwidthText,
    pub(crate) latency: DurationText,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct ServiceFile {
    pub(crate) name: String,
    pub(crate) write_class: RequestClass,
    pub(crate) max_deadline: DurationText,
    pub(crate) profile: String,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct EntryFile {
    pub(crate) name: String,
    pub(crate) failure_domain: String,
    pub(crate) public_address: SocketAddr,
    pub(crate) internal_address: SocketAddr,
}

/// Endpoints of one service in one failure domain. They are named `service-domain-N`, from 1, in
/// the order of their addresses.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct EndpointsFile {
    pub(crate) service: String,
    pub(crate) failure_domain: String,
    pub(crate) slots: u32,
    pub(crate) max_connections: u32,
    pub(crate) addresses: Vec<SocketAddr>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct ClientRangeFile {
    pub(crate) net: IpNet,
    pub(crate) block_prefix: u8,
    pub(crate) region: String,
}
