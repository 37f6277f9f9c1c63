use crate::fixture::*;
use mangospindle_model::*;
use mangospindle_quota::LinkShaper;
use mangospindle_state::{Config, ConfigChange};
use std::time::Duration;

/// Capacity of the links in the fixture.
const LINK_BYTES_PER_SECOND: f64 = 10_000_000.0;

/// Lets every entry send as much as it may between the seconds `from_s` and `to_s`. Each entry
/// reserves `bytes` every millisecond. Appends the times of the writes and their bytes to `sent`.
fn reserve_and_send(
    senders: &mut [LinkShaper],
    from_s: u64,
    to_s: u64,
    bytes: u64,
    sent: &mut Vec<(Duration, u64)>,
) {
    let mut free_at = vec![Duration::ZERO; senders.len()];
    for now in (from_s * 1_000..to_s * 1_000).map(ms) {
        for (shaper, free_at) in senders.iter_mut().zip(&mut free_at) {
            while *free_at <= now
                && let Some(grant) = shaper.reserve(now, REMOTE, bytes)
            {
                *free_at = now + grant.wait;
                sent.push((now + grant.wait, grant.bytes));
            }
        }
    }
}

/// Guards against more bytes than the link's capacity in any window of [`LinkShaper::WINDOW`] while
/// entries are added or fenced, and against unused capacity.
#[test]
fn entries_share_a_link() {
    /// Name, bytes per write, change after 2 s, fraction of the capacity that is used after it.
    struct Case(&'static str, u64, fn(&mut Config), f64);
    let add = |c: &mut Config| c.apply(&ConfigChange::AddEntry(entry(9, FailureDomainId(0))));
    let cases = [
        Case("small writes", 1_000, |_| {}, 0.98),
        Case("large writes", 1_000_000, |_| {}, 0.98),
        Case(
            "one entry fenced",
            16_384,
            |c| c.apply(&set_fenced(2)),
            0.98,
        ),
        Case("one entry added", 16_384, add, 0.98 * 0.75),
    ];
    for Case(name, bytes, change, used_fraction) in cases {
        let topology = topology(&vec![vec![(3, 2)], vec![(0, 0)]], 2, &[]);
        let mut config = config(topology, profile(1, 1.0));
        let mut shapers: Vec<_> = (0..4).map(|i| LinkShaper::new(EntryId(i))).collect();
        shapers
            .iter_mut()
            .for_each(|s| s.update_config(ms(1_000), &config));
        let mut sent = Vec::new();
        reserve_and_send(&mut shapers, 1, 3, bytes, &mut sent);
        change(&mut config);
        // The first entry receives the change late.
        shapers[1..]
            .iter_mut()
            .for_each(|s| s.update_config(ms(3_000), &config));
        reserve_and_send(&mut shapers, 3, 6, bytes, &mut sent);
        shapers[0].update_config(ms(6_000), &config);
        reserve_and_send(&mut shapers, 6, 9, bytes, &mut sent);
        sent.sort();
        let late = sent.iter().filter(|s| s.0 >= ms(6_000) && s.0 < ms(7_000));
        let total: u64 = late.map(|s| s.1).sum();
        assert!(
            (total as f64 / LINK_BYTES_PER_SECOND / used_fraction - 1.0).abs() < 0.03,
            "{name}: {total} bytes sent in one second"
        );
        let (mut window_start, mut bytes) = (0, 0);
        for (at, n) in &sent {
            bytes += n;
            while sent[window_start].0 + LinkShaper::WINDOW <= *at {
                bytes -= sent[window_start].1;
                window_start += 1;
            }
            let max_bytes = LINK_BYTES_PER_SECOND * LinkShaper::WINDOW.as_secs_f64();
            assert!(
                bytes as f64 <= max_bytes,
                "{name}: {bytes} bytes sent in the window until {at:?}"
            );
        }
    }
}
