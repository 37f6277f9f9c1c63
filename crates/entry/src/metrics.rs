use miette::{IntoDiagnostic, Result};
use prometheus::{Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts, Registry};

/// Upper bounds of the histogram buckets of endpoint drain times, in seconds.
const DRAIN_BUCKETS_SECONDS: [f64; 8] = [0.1, 0.25, 0.5, 1.0, 2.0, 5.0, 15.0, 60.0];

/// Metrics of an entry process.
pub(crate) struct Metrics {
    pub(crate) registry: Registry,
    /// Responses passed to callers, by service, request class and status.
    pub(crate) requests_answered: IntCounterVec,
    /// Attempts, by owner.
    pub(crate) owner_chosen: IntCounterVec,
    /// Error responses to callers, by error kind.
    pub(crate) requests_refused: IntCounterVec,
    /// Requests that this entry rejected as the owner, by error kind.
    pub(crate) owner_refused: IntCounterVec,
    /// Requests shed as the owner, by request class.
    pub(crate) requests_shed: IntCounterVec,
    pub(crate) requests_hedged: IntCounter,
    pub(crate) requests_retried: IntCounter,
    /// Reads resent on a new connection because the first one was silent.
    pub(crate) reads_moved: IntCounter,
    /// Incomplete responses, by reason.
    pub(crate) answers_aborted: IntCounterVec,
    pub(crate) slots_in_use: IntGauge,
    pub(crate) requests_in_progress: IntGauge,
    /// Requests served for clients of other regions, by home region.
    pub(crate) cross_region_served: IntCounterVec,
    pub(crate) lookups: IntCounter,
    pub(crate) config_version: IntGauge,
    /// Time since the configuration was last confirmed as current, in milliseconds; -1 if it never
    /// was.
    pub(crate) config_confirmation_age_ms: IntGauge,
    /// Drain phase: 0 while serving, 1 while leaving the lookup lists, 2 while finishing.
    pub(crate) drain_phase: IntGauge,
    /// Endpoints that this entry owns.
    pub(crate) owned_endpoints: IntGauge,
    pub(crate) endpoints_drained: IntCounter,
    pub(crate) endpoint_drain_seconds: Histogram,
    /// At-most-once actions, by result.
    pub(crate) actions: IntCounterVec,
}

impl Metrics {
    /// Creates and registers all metrics.
    pub(crate) fn new() -> Result<Self> {
        let registry = Registry::new();
        let counter_vec = |name: &str, help: &str, labels: &[&str]| {
            let counter = IntCounterVec::new(Opts::new(name, help), labels).into_diagnostic()?;
            registry
                .register(Box::new(counter.clone()))
                .into_diagnostic()?;
            Ok::<_, miette::Report>(counter)
        };
        let counter = |name: &str, help: &str| {
            let counter = IntCounter::new(name, help).into_diagnostic()?;
            registry
                .register(Box::new(counter.clone()))
                .into_diagnostic()?;
            Ok::<_, miette::Report>(counter)
        };
        let gauge = |name: &str, help: &str| {
            let gauge = IntGauge::new(name, help).into_diagnostic()?;
            registry
                .register(Box::new(gauge.clone()))
                .into_diagnostic()?;
            Ok::<_, miette::Report>(gauge)
        };
        let opts = HistogramOpts::new("endpoint_drain_seconds", "Drain times of endpoints")
            .buckets(DRAIN_BUCKETS_SECONDS.to_vec());
        let endpoint_drain_seconds = Histogram::with_opts(opts).into_diagnostic()?;
        registry
            .register(Box::new(endpoint_drain_seconds.clone()))
            .into_diagnostic()?;
        Ok(Metrics {
            requests_answered: counter_vec(
                "requests_answered_total",
                "Answers of endpoints passed to callers",
                &["service", "class", "status"],
            )?,
            owner_chosen: counter_vec("owner_chosen_total", "Attempts by owner", &["owner"])?,
            requests_refused: counter_vec(
                "requests_refused_total",
                "Error answers to callers",
                &["kind"],
            )?,
            owner_refused: counter_vec(
                "owner_refused_total",
                "Requests refused as the owner",
                &["kind"],
            )?,
            requests_shed: counter_vec(
                "requests_shed_total",
                "Requests shed as the owner",
                &["class"],
            )?,
            requests_hedged: counter("requests_hedged_total", "Second attempts of slow reads")?,
            requests_retried: counter("requests_retried_total", "Attempts after a failed attempt")?,
            reads_moved: counter(
                "reads_moved_total",
                "Reads moved from a silent connection to a new one",
            )?,
            answers_aborted: counter_vec(
                "answers_aborted_total",
                "Answers that ended early",
                &["reason"],
            )?,
            slots_in_use: gauge("slots_in_use", "Endpoint slots in use")?,
            requests_in_progress: gauge("requests_in_progress", "Requests of callers in progress")?,
            cross_region_served: counter_vec(
                "cross_region_served_total",
                "Requests admitted for clients of other regions",
                &["home"],
            )?,
            lookups: counter("lookups_total", "Lookups answered")?,
            config_version: gauge("config_version", "Version of the configuration in force")?,
            config_confirmation_age_ms: gauge(
                "config_confirmation_age_ms",
                "Time since the configuration was known to be current; -1 if never",
            )?,
            drain_phase: gauge("drain_phase", "0 serving, 1 leaving the lists, 2 finishing")?,
            owned_endpoints: gauge("owned_endpoints", "Endpoints that this entry owns")?,
            endpoints_drained: counter(
                "endpoints_drained_total",
                "Endpoints that became idle in a drain",
            )?,
            endpoint_drain_seconds,
            actions: counter_vec(
                "actions_total",
                "At-most-once actions by result",
                &["result"],
            )?,
            registry,
        })
    }
}
