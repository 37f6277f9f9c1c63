use crate::fleet::Fleet;
use crate::{Behaviour, admin, endpoint_server, vm_list};
use bpaf::{OptionParser, Parser, construct, long};
use mangospindle_model::{EndpointId, MonotonicClock, Topology};
use mangospindle_settings::Deployment;
use miette::{IntoDiagnostic, Result, bail};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

/// Command line of the stand-ins.
#[derive(Clone, Debug)]
pub enum Command {
    /// Endpoints of a deployment.
    Endpoints {
        /// The deployment file.
        deployment: PathBuf,
        /// Failure domains whose endpoints to serve; all if empty.
        failure_domains: Vec<String>,
        /// Listener for reports and behaviour.
        admin: SocketAddr,
        /// Processing time of a request, in milliseconds.
        service_time_ms: u64,
    },
    /// The platform's VM list.
    VmList {
        /// The deployment file.
        deployment: PathBuf,
        /// Listener of the list.
        listen: SocketAddr,
    },
}

/// The command line parser.
pub fn command() -> OptionParser<Command> {
    let deployment = || {
        long("deployment")
            .help("Deployment file")
            .argument::<PathBuf>("FILE")
    };
    let endpoints = {
        let deployment = deployment();
        let failure_domains = long("failure-domain")
            .help("Serve the endpoints of this failure domain; may be repeated (default: all)")
            .argument::<String>("NAME")
            .many();
        let admin = long("admin")
            .help("Listener for reports and behaviour")
            .argument::<SocketAddr>("ADDRESS");
        let service_time_ms = long("service-time-ms")
            .help("Processing time of a request")
            .argument::<u64>("MS")
            .fallback(20)
            .display_fallback();
        construct!(Command::Endpoints {
            deployment,
            failure_domains,
            admin,
            service_time_ms
        })
        .to_options()
        .descr("Serves endpoints of a deployment")
        .command("endpoints")
    };
    let vm_list = {
        let deployment = deployment();
        let listen = long("listen")
            .help("Listener of the list")
            .argument::<SocketAddr>("ADDRESS");
        construct!(Command::VmList { deployment, listen })
            .to_options()
            .descr("Serves the platform's VM list")
            .command("vm-list")
    };
    construct!([endpoints, vm_list])
        .to_options()
        .descr("Stand-ins for endpoints and the platform's VM list")
        .footer(
            "Example: mangospindle-standin endpoints --deployment deployment.jsonc \
             --admin 127.0.0.1:9000",
        )
        .version(env!("CARGO_PKG_VERSION"))
}

/// Runs the stand-ins until the process is told to stop.
pub async fn run(command: Command) -> Result<()> {
    let servers = match command {
        Command::Endpoints {
            deployment,
            failure_domains,
            admin,
            service_time_ms,
        } => {
            let topology = Deployment::load(&deployment)?.topology;
            let hosted = hosted_endpoints(&topology, &failure_domains)?;
            let behaviour = Behaviour {
                service_time_ms,
                ..Behaviour::default()
            };
            let clock = Arc::new(MonotonicClock::new());
            let fleet = Arc::new(Fleet::new(topology, &hosted, behaviour, clock));
            let mut servers = vec![admin::start(Arc::clone(&fleet), admin).into_diagnostic()?];
            for id in hosted {
                servers.push(endpoint_server::start(Arc::clone(&fleet), id).into_diagnostic()?);
            }
            servers
        }
        Command::VmList { deployment, listen } => {
            let topology = Deployment::load(&deployment)?.topology;
            vec![vm_list::start(&topology, listen).into_diagnostic()?]
        }
    };
    let handles: Vec<_> = servers.iter().map(|s| s.handle()).collect();
    let running = futures::future::join_all(servers.into_iter().map(actix_rt::spawn));
    let mut terminate =
        actix_rt::signal::unix::signal(actix_rt::signal::unix::SignalKind::terminate())
            .into_diagnostic()?;
    let stop = async {
        futures::future::select(
            Box::pin(terminate.recv()),
            Box::pin(actix_rt::signal::ctrl_c()),
        )
        .await;
    };
    futures::future::select(running, Box::pin(stop)).await;
    futures::future::join_all(handles.iter().map(|h| h.stop(true))).await;
    Ok(())
}

fn hosted_endpoints(topology: &Topology, names: &[String]) -> Result<Vec<EndpointId>> {
    let known = |name: &String| topology.failure_domains.iter().any(|d| d.name == *name);
    if let Some(name) = names.iter().find(|n| !known(n)) {
        bail!("there is no failure domain `{name}`");
    }
    let hosted = |id: &EndpointId| {
        let domain = topology.endpoints[id.index()].failure_domain;
        names.is_empty() || names.contains(&topology.failure_domains[domain.index()].name)
    };
    Ok(topology.endpoint_ids().filter(hosted).collect())
}
