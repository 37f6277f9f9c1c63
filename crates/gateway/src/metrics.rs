use prometheus::{Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts, Registry};

/// Upper bounds of the latency buckets, in seconds.
const LATENCY_BUCKETS: [f64; 12] = [
    0.01, 0.025, 0.05, 0.1, 0.15, 0.25, 0.4, 0.6, 1.0, 1.5, 2.5, 5.0,
];

/// Metrics of a gateway.
pub(crate) struct Metrics {
    answers: IntCounterVec,
    pub(crate) refusals: IntCounterVec,
    pub(crate) latency: Histogram,
    pub(crate) connections_opened: IntCounter,
    pub(crate) callers: IntGauge,
    pub(crate) routes_number: IntGauge,
    pub(crate) endpoints: IntGauge,
    pub(crate) list_age_ms: IntGauge,
}

impl Metrics {
    /// Creates and registers the metrics.
    pub(crate) fn new(registry: &Registry) -> Result<Self, prometheus::Error> {
        let counters = |name: &str, help: &str, label: &str| {
            let counters = IntCounterVec::new(Opts::new(name, help), &[label])?;
            registry.register(Box::new(counters.clone()))?;
            Ok::<_, prometheus::Error>(counters)
        };
        let gauge = |name: &str, help: &str| {
            let gauge = IntGauge::new(name, help)?;
            registry.register(Box::new(gauge.clone()))?;
            Ok::<_, prometheus::Error>(gauge)
        };
        let latency = HistogramOpts::new(
            "mangospindle_gateway_latency_seconds",
            "Time from a whole request to its answer.",
        );
        let latency = Histogram::with_opts(latency.buckets(LATENCY_BUCKETS.to_vec()))?;
        registry.register(Box::new(latency.clone()))?;
        let connections_opened = IntCounter::new(
            "mangospindle_gateway_connections_opened_total",
            "Connections opened to endpoints.",
        )?;
        registry.register(Box::new(connections_opened.clone()))?;
        Ok(Metrics {
            answers: counters(
                "mangospindle_gateway_answers_total",
                "Answers to callers by status.",
                "status",
            )?,
            refusals: counters(
                "mangospindle_gateway_refusals_total",
                "Requests that were sent to no endpoint, by reason.",
                "reason",
            )?,
            latency,
            connections_opened,
            callers: gauge(
                "mangospindle_gateway_callers",
                "Open connections of callers.",
            )?,
            routes_number: gauge(
                "mangospindle_gateway_routes_number",
                "Number of the table of routes in force.",
            )?,
            endpoints: gauge(
                "mangospindle_gateway_endpoints",
                "Endpoints that may get requests.",
            )?,
            list_age_ms: gauge(
                "mangospindle_gateway_endpoint_list_age_ms",
                "Age of the list of endpoints, in milliseconds.",
            )?,
        })
    }

    /// Counts an answer to a caller.
    pub(crate) fn count_answer(&self, status: &str) {
        self.answers.with_label_values(&[status]).inc();
    }
}
