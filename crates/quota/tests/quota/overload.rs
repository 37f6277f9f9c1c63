use crate::fixture::*;
use crate::test_owner::{Got, Owner};
use mangospindle_model::RequestClass;
use mangospindle_quota::{Action, Permit, RequestResult};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::time::Duration;

/// Offers `load` times the capacity of 12 slots for 5 s, a tenth of it uploads and a tenth
/// at-most-once actions, each taking `length`. Returns the refused share of each class.
fn refused(load: f64, length: Duration) -> [f64; 3] {
    let mut owner = Owner::new(100, profile(0, 1.0));
    let mut rng = SmallRng::seed_from_u64(3);
    let (mut sent, mut refused) = ([0.0; 3], [0.0; 3]);
    let mut running: Vec<(Duration, Permit)> = Vec::new();
    let mut next = 0.0;
    for tick in 0..5_000 {
        owner.advance(1);
        while let Some(i) = running.iter().position(|r| r.0 <= owner.now) {
            let result = RequestResult::Answered { first_byte: length };
            let actions = owner
                .admission
                .finish(owner.now, running.swap_remove(i).1, result);
            owner.actions.extend(actions);
        }
        while next <= f64::from(tick) {
            next -= rng.random::<f64>().ln() / (12.0 / length.as_millis() as f64 * load);
            let class = [0, 0, 0, 0, 0, 0, 0, 0, 1, 2][rng.random_range(0..10)];
            sent[class] += 1.0;
            match owner.request(0, RequestClass::ALL[class], HOME, 1_000) {
                Got::Slot => running.extend(owner.permits.pop().map(|p| (owner.now + length, p))),
                Got::Queue => {}
                Got::No(_) => refused[class] += 1.0,
            }
        }
        for action in std::mem::take(&mut owner.actions) {
            match action {
                Action::Dispatch { permit, .. } => running.push((owner.now + length, permit)),
                Action::Refuse { ticket, .. } => refused[owner.queued[&ticket] as usize] += 1.0,
                _ => {}
            }
        }
    }
    for class in 0..3 {
        refused[class] /= sent[class];
    }
    refused
}

/// Guards against refusals of at-most-once actions and uploads while reads get slots, and against
/// slots that are left unused under overload.
#[test]
fn reads_are_shed_first() {
    for (load, length) in [(0.8, 20), (1.2, 20), (2.0, 20), (1.2, 150), (2.0, 150)] {
        let [reads, uploads, actions] = refused(load, ms(length));
        println!(
            "load {load}, {length} ms: refused reads {reads:.4}, uploads {uploads:.4}, actions {actions:.4}"
        );
        let least = (1.0 - 1.0 / load).max(0.0);
        let all = 0.8 * reads + 0.1 * uploads + 0.1 * actions;
        assert!(all <= least * 1.05 + 0.01, "{all} of at least {least}");
        assert!(uploads < 0.01 && actions < 0.01);
    }
}
