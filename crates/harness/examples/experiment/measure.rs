//! Runs a case with each policy, each time in a new deployment, because endpoints count since their
//! start.

use crate::options::RunOptions;
use crate::policy::Policy;
use crate::policy_result::PolicyResult;
use crate::result::ExperimentResult;
use mangospindle_bench::run_load;
use mangospindle_harness::{Cluster, ClusterSpec};
use mangospindle_settings::Deployment;
use mangospindle_standin::Behaviour;
use miette::{IntoDiagnostic, Result, miette};
use std::time::Duration;

/// Profile of the services in the example files.
const EXAMPLE_PROFILE: &str = "quiet-season";

/// Deadline of uploads. Shorter than usual, because a run ends only when the last upload to a lost
/// endpoint has failed.
const UPLOAD_DEADLINE: Duration = Duration::from_secs(10);

/// Entries or endpoints that a caller tries for one request. A lookup names the 3 entries of the
/// home region first, so that a caller that stops after 3 never leaves a lost region.
const MAX_TRIED: usize = 6;

/// Part of the run after which the fault begins, so that connections and paces are established.
const FAULT_AFTER: f64 = 0.25;

/// Measures all policies.
pub async fn measure(options: &RunOptions) -> Result<ExperimentResult> {
    let before = load_average()?;
    let mut policies = Vec::new();
    for policy in Policy::ALL {
        policies.push(run(options, policy).await?);
    }
    Ok(ExperimentResult {
        deployment: options.deployment.directory().to_string(),
        case: options.case.name().to_string(),
        seed: options.seed,
        profile: options.profile.clone(),
        rate: options.rate,
        seconds: options.seconds,
        load_average: [before, load_average()?],
        policies,
    })
}

async fn run(options: &RunOptions, policy: Policy) -> Result<PolicyResult> {
    let mut spec = ClusterSpec::new(options.deployment);
    spec.latencies = true;
    let assignment = |name: &str| format!("\"profile\": \"{name}\"");
    spec.replace = vec![(assignment(EXAMPLE_PROFILE), assignment(&options.profile))];
    let normal = Behaviour {
        service_time_ms: spec.service_time_ms,
        slow_above_slots: true,
        ..Behaviour::default()
    };
    let mut cluster = Cluster::start(spec).await?;
    cluster.standins.set_behaviour(&[], normal).await?;
    let deployment = Deployment::load(&cluster.directory().join("deployment.jsonc"))?;
    let profile = deployment
        .profiles
        .iter()
        .find(|p| p.name == options.profile);
    let profile = profile.ok_or_else(|| miette!("no profile `{}`", options.profile))?;

    let duration = Duration::from_secs(options.seconds);
    let mut plan = cluster.load(options.rate, duration, options.seed);
    plan.upload_deadline = UPLOAD_DEADLINE;
    plan.max_tried = MAX_TRIED;
    plan.route = policy.route();
    plan.one_way = cluster.client_latencies();
    options.case.adjust(&mut plan);
    let load = actix_rt::spawn(async move { run_load(&plan).await });
    actix_rt::time::sleep(duration.mul_f64(FAULT_AFTER)).await;
    options.case.begin(&mut cluster, normal).await?;
    let load = load.await.into_diagnostic()?;
    let report = cluster.standins.report().await?;
    let limit = profile.cross_region_limit;
    Ok(PolicyResult::new(policy, &load, &report, limit))
}

/// The machine's load average over one minute.
fn load_average() -> Result<f64> {
    let text = std::fs::read_to_string("/proc/loadavg").into_diagnostic()?;
    let first = text.split_whitespace().next().unwrap_or_default();
    first.parse().into_diagnostic()
}
