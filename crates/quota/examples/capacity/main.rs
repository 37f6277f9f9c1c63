//! Prints the size, CPU time and memory of an entry's copy of the configuration and of the state
//! derived from it, for several numbers of entries. Run with
//! `cargo run --release -p mangospindle-quota --example capacity`.
//!
//! This is a development tool that generates its own input. It panics if it cannot measure, such as
//! without the kernel's CPU accounting.

#[allow(dead_code)] // Shared with tests that use other parts.
#[path = "../../../routing/tests/routing/fixture.rs"]
mod fixture;

mod counting_allocator;
mod cpu_time;
mod vm_list;

use counting_allocator::CountingAllocator;
use cpu_time::mean_cpu_us;
use fixture::{
    HOME, assign_preferred_owner, config, endpoint, ms, profile, put_profile, set_active, topology,
};
use mangospindle_model::{ClientRange, EndpointId, EntryId, RegionId, RequestClass, ServiceId};
use mangospindle_quota::{Admission, AdmissionRequest, Decision, RequestResult};
use mangospindle_routing::{ClientTable, Router};
use mangospindle_state::{Config, ConfigChange, Takeover, preferred_owner};
use std::hint::black_box;
use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::Duration;
use vm_list::VmList;

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

const ENTRY_COUNTS: [u16; 4] = [9, 100, 300, 880];
/// Number of failure domains of each region at the target scale, 15 in total.
const DOMAINS_PER_REGION: [u16; 4] = [4, 4, 4, 3];
const SERVICES: u16 = 8;
const ENDPOINTS_PER_ENTRY: u16 = 11;
/// Client address blocks per entry: 140,000 blocks for 880 entries.
const CLIENT_BLOCKS_PER_ENTRY: u32 = 159;
const REGION_LIMIT: u32 = 100_000;

fn build_config(entries: u16, blocks_per_range: u32) -> Config {
    let domains: u16 = DOMAINS_PER_REGION.iter().sum();
    let mut first = 0;
    let shape = DOMAINS_PER_REGION.map(|count| {
        let range = first..first + count;
        first += count;
        let entries_of = |d: u16| entries / domains + u16::from(d < entries % domains);
        let domains = range.map(|d| (entries_of(d), entries_of(d) * ENDPOINTS_PER_ENTRY));
        domains.collect()
    });
    let mut topology = topology(&shape.to_vec(), SERVICES, &[]);
    for region in &mut topology.regions {
        region.max_in_progress = REGION_LIMIT;
    }
    let start = u32::from(Ipv4Addr::new(10, 0, 0, 0));
    for i in 0..u32::from(entries) * CLIENT_BLOCKS_PER_ENTRY / blocks_per_range {
        let address = Ipv4Addr::from(start + i * (blocks_per_range << 8));
        let prefix = 24 - blocks_per_range.ilog2();
        topology.client_ranges.push(ClientRange {
            net: format!("{address}/{prefix}")
                .parse()
                .expect("a valid address range"),
            block_prefix: 24,
            region: RegionId((i % 4) as u16),
        });
    }
    config(topology, profile(100, 0.1))
}

/// Returns the result of `f` and the heap memory that it holds, in bytes.
fn with_heap_bytes<T, F>(f: F) -> (T, usize)
where
    F: FnOnce() -> T,
{
    let before = CountingAllocator::live_bytes();
    let value = f();
    (value, CountingAllocator::live_bytes() - before)
}

fn encoded_len(change: &ConfigChange) -> usize {
    postcard::to_stdvec(change).map_or(0, |bytes| bytes.len())
}

/// Prints the encoded sizes of the configuration and of single changes.
fn print_sizes(entries: u16) {
    let config = build_config(entries, 16);
    let config_len = |c: &Config| postcard::to_stdvec(c).map_or(0, |bytes| bytes.len());
    let id = EndpointId(config.topology.endpoints.len() as u32 - 1);
    println!(
        "{entries} entries, encoded: configuration {} bytes ({} with a range for each block); \
         changes: ownership {}, entry status {}, profile {}, new endpoint {}",
        config_len(&config),
        config_len(&build_config(entries, 1)),
        encoded_len(&assign_preferred_owner(&config, id, Takeover::Clean)),
        encoded_len(&set_active(EntryId(entries - 1), u64::MAX)),
        encoded_len(&put_profile(profile(100, 0.1))),
        encoded_len(&ConfigChange::AddEndpoint(endpoint(
            id.index(),
            0,
            config.topology.endpoints[id.index()].failure_domain
        ))),
    );
}

/// Prints the CPU time and memory of an ownership change at an entry, and the CPU time of its
/// requests as owner.
fn print_times(entries: u16) {
    let start = ms(1_000);
    let (base, config_bytes) = with_heap_bytes(|| Arc::new(build_config(entries, 16)));
    let (table, table_bytes) = with_heap_bytes(|| ClientTable::build(&base.topology));
    let table_us = mean_cpu_us(|| drop(black_box(ClientTable::build(&base.topology))));
    let mut router = Router::new(EntryId(0), 1);
    let (_, router_bytes) = with_heap_bytes(|| router.update_config(start, Arc::clone(&base)));
    let mut admission = Admission::new(EntryId(0), start, 1);
    let (_, admission_bytes) =
        with_heap_bytes(|| admission.update_config(start, Arc::clone(&base)));
    admission.confirm_config(start, base.version, Duration::ZERO);
    let now = start + ms(60_000);
    let request_us = mean_cpu_us(|| {
        let request = AdmissionRequest {
            service: ServiceId(0),
            class: RequestClass::Read,
            home: HOME,
            remaining: ms(900),
        };
        match admission.request(now, request) {
            Decision::Dispatch(permit) => {
                let result = RequestResult::Answered { first_byte: ms(5) };
                drop(black_box(admission.finish(now, permit, result)));
            }
            other => panic!("a request with free slots was not dispatched: {other:?}"),
        }
    });
    // The last endpoint belongs to another entry, so the measured entry keeps its own.
    let id = EndpointId(u32::from(entries * ENDPOINTS_PER_ENTRY) - 1);
    let mut newest = Config::clone(&base);
    let apply_us = mean_cpu_us(|| {
        let change = assign_preferred_owner(&newest, id, Takeover::Clean);
        let mut copy = Config::clone(&newest);
        copy.apply(&change);
        newest = copy;
    });
    let router_us = mean_cpu_us(|| router.update_config(now, Arc::new(Config::clone(&newest))));
    let mut version = newest.version;
    let admission_us = mean_cpu_us(|| {
        let mut copy = Config::clone(&newest);
        version += 1;
        copy.version = version;
        drop(black_box(admission.update_config(now, Arc::new(copy))));
    });
    let clone_us = mean_cpu_us(|| drop(black_box(Config::clone(&newest))));
    let home = table.lookup(Ipv4Addr::new(10, 0, 1, 1).into());
    let lookup_us = mean_cpu_us(|| drop(black_box(router.lookup(&home, ServiceId(0)))));
    let preferred_us = mean_cpu_us(|| {
        black_box(preferred_owner(&newest, id));
    });
    println!(
        "{entries} entries, us of processor time: change applied to a copy {apply_us:.0} (copy \
         {clone_us:.0}), router {:.0}, admission {:.0}; client table {table_us:.0} ({} blocks); \
         request at its owner {request_us:.2}, lookup list {lookup_us:.2}, preferred owner \
         {preferred_us:.2}",
        router_us - clone_us,
        admission_us - clone_us,
        table.block_count(),
    );
    println!(
        "{entries} entries, heap KiB: configuration {}, client table {}, router {}, admission {}",
        config_bytes >> 10,
        table_bytes >> 10,
        router_bytes >> 10,
        admission_bytes >> 10,
    );
}

/// Prints the size of the platform's VM list and the CPU time to parse it.
fn print_vm_list(entries: u16) {
    let topology = build_config(entries, 16).topology;
    let endpoints = topology.endpoints.iter().map(|e| &e.name);
    let list = VmList::with_live_vms(topology.entries.iter().map(|e| &e.name).chain(endpoints));
    let (bytes, parse_us) = list.parse_cost();
    println!("{entries} entries, VM list: {bytes} bytes, parsed in {parse_us:.0} us");
}

fn main() {
    for entries in ENTRY_COUNTS {
        print_sizes(entries);
        print_times(entries);
        print_vm_list(entries);
    }
}
