use crate::support::*;
use mangospindle_state::{ClaimOutcome, Outcome};
use std::time::Instant;

/// Resident memory of this process, in KiB.
fn resident_kib() -> usize {
    let status = std::fs::read_to_string("/proc/self/status").expect("the kernel's process status");
    let line = status.lines().find(|l| l.starts_with("VmRSS"));
    let number = line.and_then(|l| l.split_whitespace().nth(1));
    number.and_then(|n| n.parse().ok()).expect("a number")
}

/// Memory per 10,000 digests in KiB, with the state that holds them. Few claims are live at a time,
/// so that the memory that they leave behind does not hide that of the digests.
fn digests() -> (Replica, usize) {
    const PER_DAY: u64 = 20_000;
    const DAYS: u64 = 60;
    let mut replica = Replica::new();
    replica.send("", join(0, 1));
    let mut after_first = 0;
    for day in 0..DAYS {
        let start = Instant::now();
        for i in day * PER_DAY..(day + 1) * PER_DAY {
            replica.send("", claim(&key(&format!("{i:040}")), 1, attempt(0, 1, i)));
        }
        if day == DAYS - 1 {
            let per_second = PER_DAY as f64 / start.elapsed().as_secs_f64();
            println!("{per_second:.0} claims of new keys per second after {day} days");
        }
        replica.wait(24 * 3_600_000);
        if day == 0 {
            after_first = resident_kib();
        }
    }
    let grown = (resident_kib() - after_first) * 10_000;
    (replica, grown / (PER_DAY * (DAYS - 1)) as usize)
}

/// Reports memory per 10,000 claims and commands per second; guards against a claim costing more
/// than 1 KB, at which the largest number of claims no longer fits the memory of a small VM.
#[test]
#[ignore = "a measurement: run it alone, in release mode, with --nocapture"]
fn claims_memory_and_speed() {
    const CLAIMS: u64 = 200_000;
    let (_digests, per_digests) = digests();
    println!("{per_digests} KiB per 10,000 digests");
    let mut replica = Replica::new();
    replica.send("", join(0, 1));
    let before = resident_kib();
    let start = Instant::now();
    for i in 0..CLAIMS {
        // Keys of 16 to 40 bytes.
        let key = key(&format!("{i:0width$}", width = 16 + (i % 25) as usize));
        let attempt = attempt(0, 1, i);
        let granted = Outcome::Claim(ClaimOutcome::Granted);
        assert_eq!(replica.send("", claim(&key, i as u8, attempt)), granted);
        let done = replica.send("", end_claim("complete", &key, attempt, 64));
        assert!(matches!(done, Outcome::Done { .. }));
    }
    let time = start.elapsed();
    let live = resident_kib() - before;
    let per_second = 2.0 * CLAIMS as f64 / time.as_secs_f64();
    println!(
        "{} KiB per 10,000 claims with answers of 64 bytes",
        live * 10_000 / CLAIMS as usize
    );
    println!("{per_second:.0} commands per second");
    let start = Instant::now();
    let bytes = replica.state.encode();
    println!("snapshot: {} bytes in {:?}", bytes.len(), start.elapsed());
    let start = Instant::now();
    replica.restart();
    println!("decoded and encoded again in {:?}", start.elapsed());
    assert!(live * 1024 / (CLAIMS as usize) < 1024);
}
