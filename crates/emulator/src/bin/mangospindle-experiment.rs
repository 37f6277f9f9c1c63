//! Compares dispatch policies under the same scenario and seed.

use bpaf::{OptionParser, Parser, construct, long};
use mangospindle_emulator::{
    AllowanceComparison, AllowanceDesign, AllowanceLoad, Policy, RequestClass, Scenario, Service,
    plot_svg, run,
};
use miette::{IntoDiagnostic, Result};
use std::path::PathBuf;
use std::time::Duration;

struct Options {
    seed: u64,
    load: f64,
    scale: usize,
    plot: Option<PathBuf>,
    allowances: Option<usize>,
}

fn options() -> OptionParser<Options> {
    let seed = long("seed").help("Seed").argument("N").fallback(1);
    let load = long("load")
        .help("Requests a second, relative to what the slots can do on objects they know")
        .argument("X")
        .fallback(0.7);
    let scale = long("scale")
        .help("Times as many entries, endpoints, callers and objects")
        .argument("K")
        .fallback(1);
    let plot = long("plot")
        .help("Write a plot to this file")
        .argument::<PathBuf>("FILE.svg")
        .optional();
    let allowances = long("allowances")
        .help(
            "Compare designs of allowances with this number of entries instead; uses only the seed",
        )
        .argument("ENTRIES")
        .optional();
    construct!(Options {
        seed,
        load,
        scale,
        plot,
        allowances
    })
    .to_options()
    .descr("Plays three regions under each policy and prints what callers get")
}

fn compare_allowances(entries: usize, seed: u64) {
    println!("{}", AllowanceComparison::HEADER);
    for load in AllowanceLoad::ALL {
        for design in AllowanceDesign::ALL {
            println!("{}", AllowanceComparison::run(entries, load, design, seed));
        }
    }
}

fn main() -> Result<()> {
    let options = options().run();
    if let Some(entries) = options.allowances {
        compare_allowances(entries, options.seed);
        return Ok(());
    }
    let service = Service {
        name: "views".to_string(),
        endpoints: vec![1, 2, 3, 1, 2, 3],
        slots: 3,
        queue_limit: 9,
        service_time: Duration::from_millis(360),
        working_set_time_fraction: 0.3,
        working_set_size: 25,
        cold_rate: 5.2,
        cold_start: Duration::from_secs(3),
    };
    let capacity = 36.0 / (service.service_time.as_secs_f64() * service.working_set_time_fraction);
    let class = RequestClass {
        name: "view".to_string(),
        service: 0,
        rate: options.load * capacity / 6.0,
        target_latency: Duration::from_millis(250),
        deadline: Duration::from_millis(800),
        idempotent: true,
        objects: 24,
    };
    let scenario = Scenario::three_regions(service, class).scaled(options.scale);
    let mut reports = Vec::new();
    for policy in Policy::ALL {
        let report = run(&scenario, policy, options.seed);
        println!("{policy}\n{report}\n");
        reports.push((policy.to_string(), report));
    }
    if let Some(path) = options.plot {
        let title = format!("load {}, seed {}", options.load, options.seed);
        std::fs::write(path, plot_svg(&title, &reports)).into_diagnostic()?;
    }
    Ok(())
}
