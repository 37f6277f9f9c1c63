mod address_int;
mod family_table;
mod sites;

use crate::ClientHome;
use family_table::{FamilyTable, RangeInput};
use ipnet::IpNet;
use mangospindle_model::Topology;
use sites::Sites;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr};

/// Block length for unknown IPv4 clients.
const DEFAULT_BLOCK_V4: u8 = 24;
/// Block length for unknown IPv6 clients.
const DEFAULT_BLOCK_V6: u8 = 48;

/// Maps client addresses to home regions and preferred sites.
///
/// Each node builds the same table from the client ranges of its configuration; nothing about
/// single blocks is sent between nodes.
#[derive(Clone, Debug)]
pub struct ClientTable {
    v4: FamilyTable<u32>,
    v6: FamilyTable<u128>,
    sites: Sites,
}

impl ClientTable {
    /// Builds the table from the client ranges of a valid topology. A topology without failure
    /// domains gives a table that answers with key zero.
    pub fn build(topology: &Topology) -> Self {
        let sites = Sites::new(topology);
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
            v4: FamilyTable::build(v4, &sites),
            v6: FamilyTable::build(v6, &sites),
            sites,
        }
    }

    /// Finds the home of a client by longest prefix match. IPv4-mapped IPv6 addresses count as
    /// IPv4.
    ///
    /// Default for unknown clients: the client's /24 (IPv4) or /48 (IPv6) is hashed over all sites;
    /// the home region is that of the chosen site. This spreads unknown clients over the regions.
    pub fn lookup(&self, client: IpAddr) -> ClientHome {
        match client.to_canonical() {
            IpAddr::V4(address) => (self.v4.lookup(address.to_bits(), &self.sites))
                .unwrap_or_else(|| self.unknown_v4(address)),
            IpAddr::V6(address) => (self.v6.lookup(address.to_bits(), &self.sites))
                .unwrap_or_else(|| self.unknown_v6(address)),
        }
    }

    fn unknown_v4(&self, address: Ipv4Addr) -> ClientHome {
        let bits = u128::from(address.to_bits());
        self.unknown(Sites::block_key(bits, 32, DEFAULT_BLOCK_V4))
    }

    fn unknown_v6(&self, address: Ipv6Addr) -> ClientHome {
        self.unknown(Sites::block_key(address.to_bits(), 128, DEFAULT_BLOCK_V6))
    }

    fn unknown(&self, block: u64) -> ClientHome {
        let (preferred_domain, region) = self.sites.anywhere(block);
        ClientHome {
            region,
            preferred_domain,
            block,
            known: false,
        }
    }

    /// Number of blocks whose site is computed when the table is built.
    pub fn block_count(&self) -> usize {
        self.v4.block_count() + self.v6.block_count()
    }

    /// Heap memory of the table in bytes, without the list of sites.
    pub fn heap_bytes(&self) -> usize {
        self.v4.heap_bytes() + self.v6.heap_bytes()
    }
}
