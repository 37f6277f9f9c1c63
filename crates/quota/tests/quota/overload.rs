use crate::fixture::*;
use crate::test_owner::{Outcome, TestOwner};
use mangospindle_model::RequestClass;
use mangospindle_quota::{Action, Permit, RequestResult};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::time::Duration;

/// Offers `load` times the capacity of 12 slots for 5 s, a tenth of it uploads and a tenth
/// at-most-once actions, each taking `service_time`. Returns the refused fraction of each class.
fn refused_fractions(load: f64, service_time: Duration) -> [f64; 3] {
    let mut owner = TestOwner::new(100, profile(0, 1.0));
    let mut rng = SmallRng::seed_from_u64(3);
    let (mut sent, mut refused) = ([0.0; 3], [0.0; 3]);
    let mut running: Vec<(Duration, Permit)> = Vec::new();
    let mut next_arrival = 0.0;
    for tick in 0..5_000 {
        owner.advance(1);
        while let Some(i) = running.iter().position(|r| r.0 <= owner.now) {
            let result = RequestResult::Answered {
                first_byte: service_time,
            };
            let actions = owner
                .admission
                .finish(owner.now, running.swap_remove(i).1, result);
            owner.actions.extend(actions);
        }
        while next_arrival <= f64::from(tick) {
            next_arrival -=
                rng.random::<f64>().ln() / (12.0 / service_time.as_millis() as f64 * load);
            let class = [0, 0, 0, 0, 0, 0, 0, 0, 1, 2][rng.random_range(0..10)];
            sent[class] += 1.0;
            match owner.request(0, RequestClass::ALL[class], HOME, 1_000) {
                Outcome::SlotGranted => {
                    running.extend(owner.permits.pop().map(|p| (owner.now + service_time, p)))
                }
                Outcome::Enqueued => {}
                Outcome::Rejected(_) => refused[class] += 1.0,
            }
        }
        for action in std::mem::take(&mut owner.actions) {
            match action {
                Action::Dispatch { permit, .. } => running.push((owner.now + service_time, permit)),
                Action::Refuse { ticket, .. } => {
                    refused[owner.queued_classes[&ticket] as usize] += 1.0
                }
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
/// unused slots under overload.
#[test]
fn reads_are_shed_first() {
    for (load, service_time_ms) in [(0.8, 20), (1.2, 20), (2.0, 20), (1.2, 150), (2.0, 150)] {
        let [reads, uploads, actions] = refused_fractions(load, ms(service_time_ms));
        println!(
            "load {load}, {service_time_ms} ms: refused reads {reads:.4}, uploads {uploads:.4}, actions {actions:.4}"
        );
        let min_refused = (1.0 - 1.0 / load).max(0.0);
        let total_refused = 0.8 * reads + 0.1 * uploads + 0.1 * actions;
        assert!(
            total_refused <= min_refused * 1.05 + 0.01,
            "refused {total_refused}, unavoidable are {min_refused}"
        );
        assert!(uploads < 0.01 && actions < 0.01);
    }
}
