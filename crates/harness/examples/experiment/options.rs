use crate::case::Case;
use bpaf::{OptionParser, Parser, construct, long, positional};
use mangospindle_harness::Example;
use std::path::PathBuf;

/// Command line.
#[derive(Clone, Debug)]
pub enum Options {
    /// Measure.
    Run(RunOptions),
    /// Compare two result files.
    Compare {
        /// The first result.
        before: PathBuf,
        /// The second result.
        after: PathBuf,
    },
}

/// What to measure.
#[derive(Clone, Debug)]
pub struct RunOptions {
    /// The deployment.
    pub deployment: Example,
    /// The case.
    pub case: Case,
    /// Seed of the load.
    pub seed: u64,
    /// Profile of all services.
    pub profile: String,
    /// Requests per second from each region.
    pub rate: f64,
    /// How long requests are started.
    pub seconds: u64,
    /// Where to write the result.
    pub json: Option<PathBuf>,
}

/// The command line parser.
pub fn parser() -> OptionParser<Options> {
    let compare = {
        let before = positional::<PathBuf>("A");
        let after = positional::<PathBuf>("B");
        construct!(Options::Compare { before, after })
            .to_options()
            .descr("Compares two result files")
            .command("compare")
    };
    let run = run().map(Options::Run);
    construct!([compare, run])
        .to_options()
        .descr("Measures a local deployment and two baselines without entries")
}

fn run() -> impl Parser<RunOptions> {
    let deployment = long("deployment")
        .help("cantabrica or cristallo")
        .argument::<String>("NAME")
        .parse(|name| {
            let examples = [Example::Cantabrica, Example::Cristallo];
            let found = examples.into_iter().find(|e| e.directory() == name);
            found.ok_or_else(|| format!("no deployment `{name}`"))
        });
    let case = long("case")
        .help("calm, rush, domain-lost, region-lost, domain-cut-off, slow or frozen")
        .argument::<Case>("NAME")
        .fallback(Case::Calm);
    let seed = long("seed").argument::<u64>("N").fallback(1);
    let profile = long("profile")
        .help("Profile of all services")
        .argument::<String>("NAME")
        .fallback("quiet-season".to_string());
    let rate = long("rate")
        .help("Requests per second from each region")
        .argument::<f64>("N")
        .fallback(80.0);
    let seconds = long("seconds")
        .help("How long requests are started")
        .argument::<u64>("N")
        .fallback(10);
    let json = long("json")
        .help("Where to write the result")
        .argument::<PathBuf>("FILE")
        .optional();
    construct!(RunOptions {
        deployment,
        case,
        seed,
        profile,
        rate,
        seconds,
        json
    })
}
