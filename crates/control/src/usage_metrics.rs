use crate::usage_reader::UsageReader;
use prometheus::core::{Collector, Desc};
use prometheus::proto::MetricFamily;
use prometheus::{IntCounter, IntGauge};
use std::sync::{Mutex, PoisonError};

/// Metrics of the workspaces' allowances. They are computed when the metrics are read, because that
/// takes time in proportion to the number of workspaces. None has labels.
pub(crate) struct UsageMetrics {
    usage: UsageReader,
    allowances: IntGauge,
    short: IntGauge,
    rejected: IntCounter,
    /// Held while the metrics are updated, so that concurrent readers do not count rejections twice.
    update: Mutex<()>,
}

impl UsageMetrics {
    pub(crate) fn new(usage: UsageReader) -> Result<Self, prometheus::Error> {
        Ok(UsageMetrics {
            usage,
            allowances: IntGauge::new(
                "mangospindle_control_workspace_allowances",
                "Workspaces with an allowance.",
            )?,
            short: IntGauge::new(
                "mangospindle_control_workspaces_short",
                "Workspaces whose token bucket is less than half full, or whose offered rate is above \
                 their rate by more than chance.",
            )?,
            rejected: IntCounter::new(
                "mangospindle_control_workspace_rejections_total",
                "Requests that were rejected as over an allowance at entries that report to this \
                 replica.",
            )?,
            update: Mutex::default(),
        })
    }

    fn update(&self) {
        let _guard = self.update.lock().unwrap_or_else(PoisonError::into_inner);
        let summary = self.usage.summary();
        self.allowances.set(summary.allowances as i64);
        self.short.set(summary.short as i64);
        let counted = self.rejected.get();
        (self.rejected).inc_by(summary.rejected.saturating_sub(counted));
    }
}

impl Collector for UsageMetrics {
    fn desc(&self) -> Vec<&Desc> {
        let gauges = [&self.allowances, &self.short];
        let mut descriptions: Vec<&Desc> = gauges.iter().flat_map(|g| g.desc()).collect();
        descriptions.extend(self.rejected.desc());
        descriptions
    }

    fn collect(&self) -> Vec<MetricFamily> {
        self.update();
        let mut families = self.allowances.collect();
        families.extend(self.short.collect());
        families.extend(self.rejected.collect());
        families
    }
}
