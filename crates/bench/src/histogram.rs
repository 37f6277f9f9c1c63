use crate::LatencyMs;
use hdrhistogram::Histogram;
use std::time::Duration;

/// Highest latency that is told apart, in microseconds.
const MAX_US: u64 = 120_000_000;

/// A latency histogram with three significant digits.
pub(crate) struct LatencyHistogram(Option<Histogram<u64>>);

impl LatencyHistogram {
    pub(crate) fn new() -> Self {
        LatencyHistogram(Histogram::new_with_bounds(1, MAX_US, 3).ok())
    }

    pub(crate) fn record(&mut self, latency: Duration) {
        if let Some(histogram) = &mut self.0 {
            histogram.saturating_record((latency.as_micros() as u64).clamp(1, MAX_US));
        }
    }

    pub(crate) fn summary(&self) -> LatencyMs {
        let at = |q: f64| {
            let us = self.0.as_ref().map_or(0, |h| h.value_at_quantile(q));
            us as f64 / 1_000.0
        };
        LatencyMs {
            p50: at(0.5),
            p99: at(0.99),
            p999: at(0.999),
            max: at(1.0),
        }
    }
}
