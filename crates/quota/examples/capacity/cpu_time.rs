use std::fs;
use std::time::Duration;

/// Minimum CPU time of a measurement. The kernel accounts in steps of a few milliseconds.
const MIN_MEASUREMENT: Duration = Duration::from_millis(300);

/// CPU time of the main thread. Unlike wall-clock time, it hardly depends on other load on the VM.
fn thread_cpu_time() -> Duration {
    let text = fs::read_to_string("/proc/self/schedstat")
        .expect("the kernel provides /proc/self/schedstat");
    let ns = text.split_whitespace().next().and_then(|n| n.parse().ok());
    Duration::from_nanos(ns.expect("schedstat starts with a number"))
}

/// Calls `f` repeatedly for at least [`MIN_MEASUREMENT`] of CPU time and returns the mean CPU time
/// of a call in microseconds.
pub fn mean_cpu_us<F>(mut f: F) -> f64
where
    F: FnMut(),
{
    let start = thread_cpu_time();
    let mut calls = 0u32;
    loop {
        f();
        calls += 1;
        if calls.is_power_of_two() || calls.is_multiple_of(64) {
            let spent = thread_cpu_time() - start;
            if spent >= MIN_MEASUREMENT {
                return spent.as_secs_f64() * 1e6 / f64::from(calls);
            }
        }
    }
}
