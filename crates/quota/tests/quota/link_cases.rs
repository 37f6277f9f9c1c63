use crate::fixture::*;
use mangospindle_model::*;
use mangospindle_quota::LinkShaper;
use mangospindle_state::{Config, ConfigChange};
use std::time::Duration;

/// Bytes per second of the links in the fixture.
const CAPACITY: f64 = 10_000_000.0;

/// Lets every entry send as much as it may from `from` to `to` seconds, asking every millisecond
/// for `bytes`; appends the bytes with the times at which they are sent.
fn send(all: &mut [LinkShaper], from: u64, to: u64, bytes: u64, sent: &mut Vec<(Duration, u64)>) {
    let mut free_at = vec![Duration::ZERO; all.len()];
    for now in (from * 1_000..to * 1_000).map(ms) {
        for (shaper, free_at) in all.iter_mut().zip(&mut free_at) {
            while *free_at <= now
                && let Some(grant) = shaper.reserve(now, REMOTE, bytes)
            {
                *free_at = now + grant.wait;
                sent.push((now + grant.wait, grant.bytes));
            }
        }
    }
}

/// Guards against more bytes than the link's capacity in any window of the stated length, with
/// entries that are added or fenced, and against a link that is left unused.
#[test]
fn entries_share_a_link() {
    /// Name, bytes per write, change after 2 s, share of the capacity that is used after it.
    struct Case(&'static str, u64, fn(&mut Config), f64);
    let add = |c: &mut Config| c.apply(&ConfigChange::AddEntry(entry(9, FailureDomainId(0))));
    let cases = [
        Case("small writes", 1_000, |_| {}, 0.98),
        Case("large writes", 1_000_000, |_| {}, 0.98),
        Case("one fenced", 16_384, |c| c.apply(&set_fenced(2)), 0.98),
        Case("one added", 16_384, add, 0.98 * 0.75),
    ];
    for Case(name, bytes, change, used) in cases {
        let topology = topology(&vec![vec![(3, 2)], vec![(0, 0)]], 2, &[]);
        let mut config = config(topology, profile(1, 1.0));
        let mut shapers: Vec<_> = (0..4).map(|i| LinkShaper::new(EntryId(i))).collect();
        shapers
            .iter_mut()
            .for_each(|s| s.update_config(ms(1_000), &config));
        let mut sent = Vec::new();
        send(&mut shapers, 1, 3, bytes, &mut sent);
        change(&mut config);
        // The first entry gets the change late.
        shapers[1..]
            .iter_mut()
            .for_each(|s| s.update_config(ms(3_000), &config));
        send(&mut shapers, 3, 6, bytes, &mut sent);
        shapers[0].update_config(ms(6_000), &config);
        send(&mut shapers, 6, 9, bytes, &mut sent);
        sent.sort();
        let late = sent.iter().filter(|s| s.0 >= ms(6_000) && s.0 < ms(7_000));
        let total: u64 = late.map(|s| s.1).sum();
        assert!(
            (total as f64 / CAPACITY / used - 1.0).abs() < 0.03,
            "{name}: {total}"
        );
        let (mut first, mut bytes) = (0, 0);
        for (at, n) in &sent {
            bytes += n;
            while sent[first].0 + LinkShaper::WINDOW <= *at {
                bytes -= sent[first].1;
                first += 1;
            }
            let most = CAPACITY * LinkShaper::WINDOW.as_secs_f64();
            assert!(bytes as f64 <= most, "{name}: {bytes} until {at:?}");
        }
    }
}
