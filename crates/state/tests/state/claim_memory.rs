use crate::support::*;
use mangospindle_state::{ClaimOutcome, Outcome};
use std::time::Instant;

/// Returns the resident memory of this process, in KiB.
fn resident_kib() -> usize {
    let status =
        std::fs::read_to_string("/proc/self/status").expect("/proc/self/status is readable");
    let line = status.lines().find(|l| l.starts_with("VmRSS"));
    let number = line.and_then(|l| l.split_whitespace().nth(1));
    number
        .and_then(|n| n.parse().ok())
        .expect("VmRSS is a number")
}

/// Returns a replica with many digests and its memory per 10,000 digests, in KiB. Few claims are
/// live at a time, so that memory freed by claims does not hide the memory of the digests.
fn measure_digests() -> (TestReplica, usize) {
    const CLAIMS_PER_DAY: u64 = 20_000;
    const DAYS: u64 = 60;
    let mut replica = TestReplica::new();
    replica.propose("", entry_join(0, 1));
    let mut after_first_day_kib = 0;
    for day in 0..DAYS {
        let start = Instant::now();
        for i in day * CLAIMS_PER_DAY..(day + 1) * CLAIMS_PER_DAY {
            replica.propose(
                "",
                claim(&claim_key(&format!("{i:040}")), 1, attempt(0, 1, i)),
            );
        }
        if day == DAYS - 1 {
            let per_second = CLAIMS_PER_DAY as f64 / start.elapsed().as_secs_f64();
            println!("{per_second:.0} claims of new keys per second after {day} days");
        }
        replica.advance_time(24 * 3_600_000);
        if day == 0 {
            after_first_day_kib = resident_kib();
        }
    }
    let scaled_growth_kib = (resident_kib() - after_first_day_kib) * 10_000;
    (
        replica,
        scaled_growth_kib / (CLAIMS_PER_DAY * (DAYS - 1)) as usize,
    )
}

/// Reports the memory per 10,000 claims and the commands per second. Guards against a claim that
/// takes more than 1 KB: the maximum number of claims then no longer fits into the memory of a
/// small VM.
#[test]
#[ignore = "a measurement: run it alone, in release mode, with --nocapture"]
fn claim_memory_is_bounded() {
    const CLAIMS: u64 = 200_000;
    let (_digests, digests_kib) = measure_digests();
    println!("{digests_kib} KiB per 10,000 digests");
    let mut replica = TestReplica::new();
    replica.propose("", entry_join(0, 1));
    let before_kib = resident_kib();
    let start = Instant::now();
    for i in 0..CLAIMS {
        // Keys have 16 to 40 bytes.
        let key = claim_key(&format!("{i:0width$}", width = 16 + (i % 25) as usize));
        let attempt = attempt(0, 1, i);
        let granted = Outcome::Claim(ClaimOutcome::Granted);
        assert_eq!(replica.propose("", claim(&key, i as u8, attempt)), granted);
        let done = replica.propose("", end_claim("complete", &key, attempt, 64));
        assert!(matches!(done, Outcome::Done { .. }));
    }
    let time = start.elapsed();
    let claims_kib = resident_kib() - before_kib;
    let per_second = 2.0 * CLAIMS as f64 / time.as_secs_f64();
    println!(
        "{} KiB per 10,000 claims with responses of 64 bytes",
        claims_kib * 10_000 / CLAIMS as usize
    );
    println!("{per_second:.0} commands per second");
    let start = Instant::now();
    let bytes = replica.state.encode();
    println!("snapshot: {} bytes in {:?}", bytes.len(), start.elapsed());
    let start = Instant::now();
    replica.restore_from_snapshot();
    println!("decoded and encoded again in {:?}", start.elapsed());
    assert!(claims_kib * 1024 / (CLAIMS as usize) < 1024);
}
