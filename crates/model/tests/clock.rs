//! Tests of the system's clock.

use mangospindle_model::{Clock, MonotonicClock};
use std::time::Duration;

/// Guards against a clock that stands still while the VM is suspended: the process would then act on
/// what had expired meanwhile. The clock must be the one that counts that time, and must advance.
#[test]
fn clock_counts_suspension_and_advances() {
    let clock = MonotonicClock::new();
    assert!(clock.counts_suspension());
    let before = clock.now();
    std::thread::sleep(Duration::from_millis(20));
    let elapsed = clock.now().saturating_sub(before);
    assert!(elapsed >= Duration::from_millis(20), "{elapsed:?}");
}
