use crate::histogram::LatencyHistogram;
use crate::{ClassReport, LoadReport};
use mangospindle_model::RequestClass;
use std::collections::BTreeMap;
use std::time::Duration;

/// How a request ended, as its caller saw it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Ending {
    /// A complete and correct answer from this region.
    Success { served_region: String },
    /// Anything else, by name.
    Failure { name: String, not_run: bool },
}

/// A finished request.
pub(crate) struct Finished {
    pub(crate) class: RequestClass,
    pub(crate) service: String,
    pub(crate) home_region: String,
    /// Idempotency key, if the request had one.
    pub(crate) key: Option<String>,
    /// Time of the start of the run at which the answer was complete.
    pub(crate) at: Duration,
    pub(crate) latency: Duration,
    pub(crate) ending: Ending,
}

/// Collects the endings of a run.
pub(crate) struct Recorder {
    seed: u64,
    classes: BTreeMap<&'static str, (ClassReport, LatencyHistogram)>,
    cross_region: BTreeMap<String, BTreeMap<u64, u32>>,
    accepted_keys: Vec<String>,
    not_run_keys: Vec<String>,
}

impl Recorder {
    pub(crate) fn new(seed: u64) -> Self {
        Recorder {
            seed,
            classes: BTreeMap::new(),
            cross_region: BTreeMap::new(),
            accepted_keys: Vec::new(),
            not_run_keys: Vec::new(),
        }
    }

    pub(crate) fn record(&mut self, finished: Finished) {
        let entry = (self.classes)
            .entry(finished.class.as_str())
            .or_insert_with(|| (ClassReport::default(), LatencyHistogram::new()));
        let (report, histogram) = entry;
        report.started += 1;
        match (finished.ending, finished.key) {
            (Ending::Success { served_region }, key) => {
                report.succeeded += 1;
                histogram.record(finished.latency);
                self.accepted_keys.extend(key);
                if served_region != finished.home_region {
                    let pair = format!(
                        "{} {}->{served_region}",
                        finished.service, finished.home_region
                    );
                    let windows = self.cross_region.entry(pair).or_default();
                    *windows.entry(finished.at.as_secs()).or_default() += 1;
                }
            }
            (Ending::Failure { name, not_run }, key) => {
                *report.failed.entry(name).or_default() += 1;
                if not_run {
                    self.not_run_keys.extend(key);
                }
            }
        }
    }

    pub(crate) fn report(self) -> LoadReport {
        let class = |(name, (mut report, histogram)): (&str, (ClassReport, LatencyHistogram))| {
            report.latency_ms = histogram.summary();
            (name.to_string(), report)
        };
        let most = |(pair, windows): (String, BTreeMap<u64, u32>)| {
            (pair, windows.into_values().max().unwrap_or(0))
        };
        LoadReport {
            seed: self.seed,
            classes: self.classes.into_iter().map(class).collect(),
            max_cross_region_per_second: self.cross_region.into_iter().map(most).collect(),
            accepted_keys: self.accepted_keys,
            not_run_keys: self.not_run_keys,
        }
    }
}
