//! Benchmarks of client table lookups and router decisions on one core. Run with
//! `cargo bench -p mangospindle-routing`.

#[allow(dead_code)]
#[path = "../tests/routing/fixture.rs"]
mod fixture;

use fixture::{SERVICE, TopologyShape, config, ms, profile, topology, uniform_shape};
use ipnet::Ipv4Net;
use mangospindle_model::{ClientRange, EntryId, RegionId, RequestClass};
use mangospindle_routing::{Attempts, ClientTable, OwnerEvent, Router};
use std::hint::black_box;
use std::net::{IpAddr, Ipv4Addr};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Numbers of blocks in the client table: an eighth of, half of, exactly and four times the target
/// scale.
const BLOCKS: [u32; 4] = [17_500, 70_000, 140_000, 560_000];
const LOOKUPS: u32 = 5_000_000;
const DECISIONS: u32 = 500_000;

/// Pseudo-random addresses, the same in each run.
fn addresses() -> impl Iterator<Item = u32> {
    (0..).scan(1u32, |state, _: u32| {
        *state = state.wrapping_mul(1_664_525).wrapping_add(1_013_904_223);
        Some(*state)
    })
}

fn bench_client_table(blocks: u32, one_range_per_block: bool) {
    let mut topology = topology(&uniform_shape(4, 25, 1, 1), 1, &[]);
    let first = u32::from(Ipv4Addr::new(10, 0, 0, 0));
    // With ranges of 16 blocks, the preferred failure domains still differ by block.
    let (step, prefix) = if one_range_per_block {
        (1, 24)
    } else {
        (16, 20)
    };
    for i in (0..blocks).step_by(step) {
        let address = Ipv4Addr::from(first + (i << 8));
        let net = Ipv4Net::new_assert(address, prefix).trunc().into();
        let region = RegionId((i / 16 % 4) as u16);
        topology.client_ranges.push(ClientRange {
            net,
            block_prefix: 24,
            region,
        });
    }
    let start = Instant::now();
    let table = ClientTable::build(&topology);
    let build = start.elapsed();
    let mut known = 0;
    let start = Instant::now();
    for random in addresses().take(LOOKUPS as usize) {
        // Scales the random number to the addresses that are in a range.
        let offset = (u64::from(random) * (u64::from(blocks) << 8)) >> 32;
        let client = IpAddr::from(Ipv4Addr::from(first + offset as u32));
        known += u32::from(black_box(table.lookup(client)).known);
    }
    let rate = f64::from(LOOKUPS) / start.elapsed().as_secs_f64();
    assert_eq!(known, LOOKUPS);
    println!(
        "client table: {blocks} blocks in {} ranges: {:.2} M lookups/s, {:.1} bytes/block, built in {:.1} ms",
        topology.client_ranges.len(),
        rate / 1e6,
        table.heap_bytes() as f64 / f64::from(blocks),
        build.as_secs_f64() * 1e3
    );
}

fn bench_router(name: &str, shape: TopologyShape) {
    let config = config(
        topology(&shape, 1, &[("10.0.0.0/8", 16, 0)]),
        profile(100, 0.1),
    );
    let entries = config.topology.entries.len();
    let table = ClientTable::build(&config.topology);
    let mut router = Router::new(EntryId(0), 1);
    router.update_config(Duration::ZERO, Arc::new(config));
    let start = Instant::now();
    for random in addresses().take(DECISIONS as usize / 10) {
        let client = table.lookup(Ipv4Addr::from(random).into());
        black_box(router.lookup(&client, SERVICE));
    }
    let lookups = f64::from(DECISIONS / 10) / start.elapsed().as_secs_f64();
    let start = Instant::now();
    let after = ms(5);
    for i in 0..DECISIONS {
        let now = ms(6_000) + Duration::from_micros(u64::from(i) * 20);
        let deadline = now + ms(1_000);
        let mut attempts = Attempts::new(SERVICE, RequestClass::Read, RegionId(0), deadline);
        if let Ok(owner) = router.choose_owner(now, &mut attempts) {
            router.observe(now, owner, SERVICE, OwnerEvent::ResponseStarted { after });
            router.observe(now, owner, SERVICE, OwnerEvent::ResponseComplete { after });
        }
    }
    let decisions = f64::from(DECISIONS) / start.elapsed().as_secs_f64();
    println!(
        "router, {name} ({entries} entries): {decisions:.0} owner choices with their results/s, {lookups:.0} lookup lists/s"
    );
}

fn main() {
    for blocks in BLOCKS {
        bench_client_table(blocks, true);
        bench_client_table(blocks, false);
    }
    bench_router("current size", uniform_shape(3, 2, 2, 1));
    bench_router("100 entries", uniform_shape(4, 5, 5, 1));
    bench_router("target scale", uniform_shape(4, 4, 55, 1));
}
