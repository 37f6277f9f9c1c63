mod address_int;
mod candidate_domains;
mod family_table;

use crate::ClientHome;
use candidate_domains::CandidateDomains;
use family_table::{FamilyTable, RangeInput};
use ipnet::IpNet;
use mangospindle_model::Topology;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr};

/// Prefix length of the block of an unknown IPv4 client.
const UNKNOWN_BLOCK_PREFIX_V4: u8 = 24;
/// Prefix length of the block of an unknown IPv6 client.
const UNKNOWN_BLOCK_PREFIX_V6: u8 = 48;

/// Maps client addresses to home regions and preferred failure domains.
///
/// Each process builds the same table from the client ranges of its configuration. The placement of
/// single blocks is never sent between processes.
#[derive(Clone, Debug)]
pub struct ClientTable {
    v4: FamilyTable<u32>,
    v6: FamilyTable<u128>,
    candidates: CandidateDomains,
}

impl ClientTable {
    /// Builds the table from the client ranges of a valid topology. If the topology has no failure
    /// domains, lookups return the failure domain with id 0.
    pub fn build(topology: &Topology) -> Self {
        let candidates = CandidateDomains::new(topology);
        let mut v4 = Vec::new();
        let mut v6 = Vec::new();
        for range in &topology.client_ranges {
            match range.net {
                IpNet::V4(net) => v4.push(RangeInput {
                    start: net.network().to_bits(),
                    end: net.broadcast().to_bits(),
                    prefix: net.prefix_len(),
                    block_prefix: range.block_prefix,
                    region: range.region,
                }),
                IpNet::V6(net) => v6.push(RangeInput {
                    start: net.network().to_bits(),
                    end: net.broadcast().to_bits(),
                    prefix: net.prefix_len(),
                    block_prefix: range.block_prefix,
                    region: range.region,
                }),
            }
        }
        ClientTable {
            v4: FamilyTable::build(v4, &candidates),
            v6: FamilyTable::build(v6, &candidates),
            candidates,
        }
    }

    /// Finds the placement of a client by longest prefix match. IPv4-mapped IPv6 addresses are
    /// looked up as IPv4 addresses.
    ///
    /// For clients outside all ranges, the client's /24 (IPv4) or /48 (IPv6) block is hashed over
    /// all candidate failure domains, and the home region is that of the chosen failure domain.
    /// This spreads such clients over the regions.
    pub fn lookup(&self, client: IpAddr) -> ClientHome {
        match client.to_canonical() {
            IpAddr::V4(address) => (self.v4.lookup(address.to_bits(), &self.candidates))
                .unwrap_or_else(|| self.place_unknown_v4(address)),
            IpAddr::V6(address) => (self.v6.lookup(address.to_bits(), &self.candidates))
                .unwrap_or_else(|| self.place_unknown_v6(address)),
        }
    }

    fn place_unknown_v4(&self, address: Ipv4Addr) -> ClientHome {
        let bits = u128::from(address.to_bits());
        self.place_unknown(CandidateDomains::block_key(
            bits,
            32,
            UNKNOWN_BLOCK_PREFIX_V4,
        ))
    }

    fn place_unknown_v6(&self, address: Ipv6Addr) -> ClientHome {
        self.place_unknown(CandidateDomains::block_key(
            address.to_bits(),
            128,
            UNKNOWN_BLOCK_PREFIX_V6,
        ))
    }

    fn place_unknown(&self, block: u64) -> ClientHome {
        let (preferred_domain, region) = self.candidates.preferred_overall(block);
        ClientHome {
            region,
            preferred_domain,
            block,
            known: false,
        }
    }

    /// Number of blocks whose preferred failure domain is stored in the table.
    pub fn block_count(&self) -> usize {
        self.v4.block_count() + self.v6.block_count()
    }

    /// Heap memory of the table in bytes, without the list of candidate failure domains.
    pub fn heap_bytes(&self) -> usize {
        self.v4.heap_bytes() + self.v6.heap_bytes()
    }
}
