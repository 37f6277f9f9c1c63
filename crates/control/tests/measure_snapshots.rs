//! Benchmark of snapshots. Ignored by default; run with `cargo test --release \
//! -p mangospindle-control --test measure_snapshots -- --ignored --nocapture`.

#[allow(dead_code)] // Each test crate uses only some of the helpers.
#[path = "support/commands.rs"]
mod commands;

use commands::{claim, entry_join};
use mangospindle_model::{Clock, MonotonicClock};
use mangospindle_settings::Deployment;
use mangospindle_state::{ClaimOutcome, Command, CommandKind, Outcome, RequestId, State};

/// Measures the time to encode a snapshot, which blocks the replica.
#[test]
#[ignore = "a measurement, not a check"]
fn snapshot_encoding() {
    let text = include_str!("../../../examples/cantabrica/deployment.jsonc");
    let deployment = Deployment::parse("example", text).unwrap();
    let bootstrap = CommandKind::Bootstrap {
        topology: deployment.topology,
        profiles: deployment.profiles,
    };
    for claims in [10_000, 100_000, 1_000_000] {
        let clock = MonotonicClock::new();
        let mut state = State::new();
        let bootstrap_command = Command {
            kind: bootstrap.clone(),
            ..entry_join()
        };
        state.apply(1, &bootstrap_command);
        let join_command = Command {
            request: RequestId("second".to_string()),
            ..entry_join()
        };
        state.apply(2, &join_command);
        for number in 0..claims {
            let outcome = state.apply(number + 3, &claim(number));
            assert_eq!(outcome, Outcome::Claim(ClaimOutcome::Granted));
        }
        let start = clock.now();
        let copy = state.clone();
        let copied = clock.now();
        let bytes = state.encode().len();
        let encoded = clock.now();
        drop(copy);
        println!(
            "{claims} claims: {bytes} bytes, copy {:?}, encoding {:?}",
            copied - start,
            encoded - copied,
        );
    }
}
