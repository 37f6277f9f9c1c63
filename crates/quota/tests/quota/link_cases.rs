use crate::fixture::*;
use mangospindle_model::*;
use mangospindle_quota::LinkShaper;
use mangospindle_state::{Config, ConfigChange, EntryStatus};
use std::time::Duration;

/// Bytes per second of the links in the fixture.
const CAPACITY: f64 = 10_000_000.0;

/// Lets every entry send as much as it may for `length`, asking every millisecond for `bytes`;
/// returns the bytes with the times at which they are sent.
fn send(
    shapers: &mut [LinkShaper],
    from: Duration,
    length: u64,
    bytes: u64,
) -> Vec<(Duration, u64)> {
    let mut sent = Vec::new();
    let mut free_at = vec![from; shapers.len()];
    for now in (0..length).map(|t| from + ms(t)) {
        for (shaper, free_at) in shapers.iter_mut().zip(&mut free_at) {
            while *free_at <= now {
                let Some(grant) = shaper.reserve(now, AWAY, bytes) else {
                    break;
                };
                *free_at = now + grant.wait;
                sent.push((*free_at, grant.bytes));
                if grant.bytes == 0 {
                    break;
                }
            }
        }
    }
    sent.sort();
    sent
}

/// Guards against more bytes than the link's capacity in any window of the stated length, with
/// entries that are added, fenced and return, and against a link that is left unused.
#[test]
fn entries_share_a_link() {
    struct Case {
        name: &'static str,
        bytes: u64,
        change: fn(&mut Config),
        /// Share of the capacity that is used after the change.
        used: f64,
    }
    let cases = [
        Case {
            name: "small writes",
            bytes: 1_000,
            change: |_| {},
            used: 0.98,
        },
        Case {
            name: "large writes",
            bytes: 1_000_000,
            change: |_| {},
            used: 0.98,
        },
        Case {
            name: "one fenced",
            bytes: 16_384,
            change: |c| {
                c.apply(&ConfigChange::SetEntryStatus(
                    EntryId(2),
                    EntryStatus::Fenced,
                ))
            },
            used: 0.98,
        },
        Case {
            name: "one added",
            bytes: 16_384,
            change: |c| {
                c.apply(&ConfigChange::AddEntry(Entry {
                    name: "n9".into(),
                    ..c.topology.entries[0].clone()
                }))
            },
            used: 0.98 * 0.75,
        },
    ];
    for Case {
        name,
        bytes,
        change,
        used,
    } in cases
    {
        let mut config = config(3, 1, 100, profile(1, 1.0));
        let mut shapers: Vec<_> = (0..4).map(|i| LinkShaper::new(EntryId(i))).collect();
        let start = ms(1_000);
        shapers
            .iter_mut()
            .for_each(|s| s.update_config(start, &config));
        let mut sent = send(&mut shapers, start, 2_000, bytes);
        change(&mut config);
        // The last entry gets the change late.
        shapers[1..]
            .iter_mut()
            .for_each(|s| s.update_config(start + ms(2_000), &config));
        sent.extend(send(&mut shapers, start + ms(2_000), 3_000, bytes));
        shapers[0].update_config(start + ms(5_000), &config);
        let late = send(&mut shapers, start + ms(5_000), 3_000, bytes);
        let total: u64 = late
            .iter()
            .filter(|s| s.0 < start + ms(6_000))
            .map(|s| s.1)
            .sum();
        assert!(
            (total as f64 / CAPACITY / used - 1.0).abs() < 0.03,
            "{name}: {total}"
        );
        sent.extend(late);
        sent.sort();
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
