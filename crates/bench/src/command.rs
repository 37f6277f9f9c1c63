use crate::{LoadPlan, MAX_TRIED, Route, Traffic, UPLOAD_DEADLINE, run_load};
use bpaf::{OptionParser, Parser, construct, long};
use mangospindle_http::checked_connector;
use mangospindle_model::Topology;
use mangospindle_settings::Deployment;
use miette::{IntoDiagnostic, Result, bail};
use std::path::PathBuf;
use std::time::Duration;

/// Pause between two questions whether an entry is ready.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Command line of the load generator.
#[derive(Clone, Debug)]
pub struct Command {
    deployment: PathBuf,
    seconds: u64,
    rate: f64,
    callers: u16,
    seed: u64,
    wait_ready_s: u64,
    json: bool,
}

/// The command line parser.
pub fn command() -> OptionParser<Command> {
    let deployment = long("deployment")
        .help("Deployment file")
        .argument::<PathBuf>("FILE");
    let seconds = long("seconds")
        .help("How long requests are started")
        .argument::<u64>("N")
        .fallback(5)
        .display_fallback();
    let rate = long("rate")
        .help("Requests per second from each region")
        .argument::<f64>("N")
        .fallback(100.0)
        .display_fallback();
    let callers = long("callers")
        .help("Callers in each region")
        .argument::<u16>("N")
        .fallback(8)
        .display_fallback();
    let seed = long("seed")
        .help("Seed of all random choices")
        .argument::<u64>("N")
        .fallback(1)
        .display_fallback();
    let wait_ready_s = long("wait-ready")
        .help("Wait at most this many seconds until all entries are ready")
        .argument::<u64>("N")
        .fallback(0)
        .display_fallback();
    let json = long("json")
        .help("Print the result as JSON in place of a table")
        .switch();
    construct!(Command {
        deployment,
        seconds,
        rate,
        callers,
        seed,
        wait_ready_s,
        json
    })
    .to_options()
    .descr("Sends a seeded open-loop load through the entries of a deployment")
    .footer("Example: mangospindle-bench --deployment deployment.jsonc --rate 200 --seconds 10")
    .version(env!("CARGO_PKG_VERSION"))
}

/// Generates the load and prints the result.
pub async fn run_command(command: Command) -> Result<()> {
    let topology = Deployment::load(&command.deployment)?.topology;
    if command.wait_ready_s > 0 {
        wait_ready(&topology, Duration::from_secs(command.wait_ready_s)).await?;
    }
    let plan = LoadPlan {
        entries: topology.entries.iter().map(|e| e.public_address).collect(),
        traffic: Traffic::mix(&topology, command.rate),
        topology,
        duration: Duration::from_secs(command.seconds),
        callers_per_region: command.callers,
        deadline: Duration::from_secs(5),
        upload_deadline: UPLOAD_DEADLINE,
        max_tried: MAX_TRIED,
        route: Route::Lookup,
        one_way: Vec::new(),
        seed: command.seed,
    };
    let report = run_load(&plan).await;
    match command.json {
        true => println!(
            "{}",
            serde_json::to_string_pretty(&report).into_diagnostic()?
        ),
        false => print!("{report}"),
    }
    Ok(())
}

/// Waits until all entries say that they are ready.
async fn wait_ready(topology: &Topology, limit: Duration) -> Result<()> {
    let client = awc::Client::builder()
        .connector(checked_connector())
        .finish();
    let all_ready = async {
        for entry in &topology.entries {
            let url = format!("http://{}/readyz", entry.public_address);
            while !(client.get(&url).send().await).is_ok_and(|a| a.status().is_success()) {
                actix_rt::time::sleep(READY_POLL_INTERVAL).await;
            }
        }
    };
    match actix_rt::time::timeout(limit, all_ready).await {
        Ok(()) => Ok(()),
        Err(_) => bail!("not all entries are ready after {limit:?}"),
    }
}
