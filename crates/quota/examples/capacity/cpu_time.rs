use std::fs;
use std::time::Duration;

/// Least processor time of a measurement. The kernel accounts in steps of a few milliseconds.
const LEAST: Duration = Duration::from_millis(300);

/// Processor time of the main thread. Other load on the machine changes it little, unlike the time
/// on a clock.
fn used() -> Duration {
    let text = fs::read_to_string("/proc/self/schedstat").expect("the kernel's accounting");
    let ns = text.split_whitespace().next().and_then(|n| n.parse().ok());
    Duration::from_nanos(ns.expect("a number"))
}

/// Repeats `f` for at least [`LEAST`] and returns the mean processor time of a call in
/// microseconds.
pub fn mean_us<F>(mut f: F) -> f64
where
    F: FnMut(),
{
    let start = used();
    let mut calls = 0u32;
    loop {
        f();
        calls += 1;
        if calls.is_power_of_two() || calls.is_multiple_of(64) {
            let spent = used() - start;
            if spent >= LEAST {
                return spent.as_secs_f64() * 1e6 / f64::from(calls);
            }
        }
    }
}
