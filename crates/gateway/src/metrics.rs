use mangospindle_dispatch::{Choice, Dispatcher};
use mangospindle_telemetry::log_lines_dropped;
use prometheus::core::Collector;
use prometheus::{
    GaugeVec, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
};
use std::time::Duration;

/// Upper bounds of the latency buckets.
const LATENCY_BUCKETS_SECONDS: [f64; 12] = [
    0.01, 0.025, 0.05, 0.1, 0.15, 0.25, 0.4, 0.6, 1.0, 1.5, 2.5, 5.0,
];

/// Metrics of a gateway.
pub(crate) struct Metrics {
    responses: IntCounterVec,
    pub(crate) refusals: IntCounterVec,
    latency: HistogramVec,
    sends: IntCounterVec,
    send_results: IntCounterVec,
    cold_sends: IntCounterVec,
    relays: IntCounterVec,
    retry_budget: GaugeVec,
    region_entries: IntGauge,
    in_progress: IntGauge,
    log_lines_dropped: IntGauge,
    pub(crate) connections_opened: IntCounter,
    pub(crate) caller_connections: IntGauge,
    pub(crate) routes_number: IntGauge,
    endpoints: IntGauge,
    pub(crate) list_age_ms: IntGauge,
}

/// Registers the metrics of a gateway under their common prefix.
struct Registrar<'a>(&'a Registry);

impl Registrar<'_> {
    fn add<M>(&self, metric: prometheus::Result<M>) -> prometheus::Result<M>
    where
        M: Collector + Clone + 'static,
    {
        let metric = metric?;
        self.0.register(Box::new(metric.clone()))?;
        Ok(metric)
    }

    fn opts(name: &str, help: &str) -> Opts {
        Opts::new(format!("mangospindle_gateway_{name}"), help)
    }

    fn counters(
        &self,
        name: &str,
        help: &str,
        labels: &[&str],
    ) -> prometheus::Result<IntCounterVec> {
        self.add(IntCounterVec::new(Self::opts(name, help), labels))
    }

    fn gauge(&self, name: &str, help: &str) -> prometheus::Result<IntGauge> {
        self.add(IntGauge::with_opts(Self::opts(name, help)))
    }
}

impl Metrics {
    /// Creates and registers the metrics.
    pub(crate) fn new(registry: &Registry) -> Result<Self, prometheus::Error> {
        let r = Registrar(registry);
        let latency = HistogramOpts::new(
            "mangospindle_gateway_latency_seconds",
            "Time from a whole request to its answer, by the rank of its route.",
        );
        let latency = latency.buckets(LATENCY_BUCKETS_SECONDS.to_vec());
        let budget = Registrar::opts(
            "retry_budget",
            "Second sends that each service can still pay for.",
        );
        Ok(Metrics {
            responses: r.counters(
                "answers_total",
                "Answers to callers by status.",
                &["status"],
            )?,
            refusals: r.counters(
                "refusals_total",
                "Requests that were sent to no endpoint, by reason.",
                &["reason"],
            )?,
            latency: r.add(HistogramVec::new(latency, &["priority"]))?,
            sends: r.counters(
                "sends_total",
                "Requests sent to endpoints of the own region (local) or of another (remote), \
                 for the first time or again.",
                &["service", "region", "send"],
            )?,
            send_results: r.counters(
                "send_results_total",
                "How requests ended at endpoints.",
                &["service", "result"],
            )?,
            cold_sends: r.counters(
                "cold_sends_total",
                "Requests sent to cold endpoints.",
                &["service"],
            )?,
            relays: r.counters(
                "relays_total",
                "Requests offered to other entries while this one had no path, by result.",
                &["result"],
            )?,
            retry_budget: r.add(GaugeVec::new(budget, &["service"]))?,
            region_entries: r.gauge(
                "region_entries",
                "Entries that are assumed to share the rates of this region.",
            )?,
            in_progress: r.gauge("in_progress", "Requests in progress at endpoints.")?,
            log_lines_dropped: r.gauge(
                "log_lines_dropped",
                "Log lines beyond the limit since the start.",
            )?,
            connections_opened: r.add(IntCounter::with_opts(Registrar::opts(
                "connections_opened_total",
                "Connections opened to endpoints.",
            )))?,
            caller_connections: r.gauge("callers", "Open connections of callers.")?,
            routes_number: r.gauge("routes_number", "Number of the table of routes in force.")?,
            endpoints: r.gauge("endpoints", "Endpoints that may get requests.")?,
            list_age_ms: r.gauge(
                "endpoint_list_age_ms",
                "Age of the list of endpoints, in milliseconds.",
            )?,
        })
    }

    /// Counts a response to a caller.
    pub(crate) fn count_response(&self, status: &str) {
        self.responses.with_label_values(&[status]).inc();
    }

    /// Counts a response and records the latency of its request under the priority of its route.
    pub(crate) fn observe_response(&self, priority: u32, status: &str, elapsed: Duration) {
        let latency = self.latency.with_label_values(&[&priority.to_string()]);
        latency.observe(elapsed.as_secs_f64());
        self.count_response(status);
    }

    /// Counts a request that is sent to the chosen endpoint.
    pub(crate) fn count_send(&self, service: &str, choice: &Choice, is_retry: bool) {
        let region = if choice.remote { "remote" } else { "local" };
        let send = if is_retry { "again" } else { "first" };
        self.sends.with_label_values(&[service, region, send]).inc();
        if choice.cold {
            self.cold_sends.with_label_values(&[service]).inc();
        }
    }

    /// Counts a request that was offered to another entry.
    pub(crate) fn count_relay(&self, result: &str) {
        self.relays.with_label_values(&[result]).inc();
    }

    /// Counts the result of a request at an endpoint.
    pub(crate) fn count_result(&self, service: &str, result: &str) {
        let results = self.send_results.with_label_values(&[service, result]);
        results.inc();
    }

    /// Updates the gauges from the state of the dispatcher.
    pub(crate) fn update_gauges(&self, dispatcher: &Dispatcher, now: Duration) {
        self.endpoints.set(dispatcher.usable_endpoints(now) as i64);
        self.in_progress.set(dispatcher.in_progress().into());
        self.region_entries.set(dispatcher.region_entries().into());
        self.log_lines_dropped.set(log_lines_dropped() as i64);
        for (service, remaining) in dispatcher.retry_budgets() {
            self.retry_budget
                .with_label_values(&[service])
                .set(remaining);
        }
    }
}
