use crate::fleet::Fleet;
use crate::{Behaviour, admin, endpoint_server, vm_list};
use bpaf::{OptionParser, Parser, construct, long};
use mangospindle_model::{EndpointId, MonotonicClock, Topology};
use mangospindle_settings::Deployment;
use miette::{IntoDiagnostic, Result, bail};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

/// Command line of the stand-in process.
#[derive(Clone, Debug)]
pub enum Command {
    /// Serves endpoints of a deployment.
    Endpoints {
        /// Path of the deployment file.
        deployment: PathBuf,
        /// Names of the failure domains whose endpoints are served; all if empty.
        failure_domains: Vec<String>,
        /// Listen address of the administration API.
        admin: SocketAddr,
        /// Processing time of a request, in milliseconds.
        service_time_ms: u64,
    },
    /// Serves the platform's VM list.
    VmList {
        /// Path of the deployment file.
        deployment: PathBuf,
        /// Listen address of the list.
        listen: SocketAddr,
    },
}

/// Returns the command line parser.
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

/// Runs the stand-ins until SIGTERM or Ctrl-C.
///
/// # Errors
///
/// Fails if the deployment cannot be loaded, if it lacks one of the failure domains, or if an
/// address cannot be bound.
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
    let shutdown_signal = async {
        futures::future::select(
            Box::pin(terminate.recv()),
            Box::pin(actix_rt::signal::ctrl_c()),
        )
        .await;
    };
    futures::future::select(running, Box::pin(shutdown_signal)).await;
    futures::future::join_all(handles.iter().map(|h| h.stop(true))).await;
    Ok(())
}

/// Returns the endpoints in the named failure domains, or all endpoints if `names` is empty.
fn hosted_endpoints(topology: &Topology, names: &[String]) -> Result<Vec<EndpointId>> {
    let exists = |name: &String| topology.failure_domains.iter().any(|d| d.name == *name);
    if let Some(name) = names.iter().find(|n| !exists(n)) {
        bail!("the deployment has no failure domain `{name}`");
    }
    let is_hosted = |id: &EndpointId| {
        let domain = topology.endpoints[id.index()].failure_domain;
        names.is_empty() || names.contains(&topology.failure_domains[domain.index()].name)
    };
    Ok(topology.endpoint_ids().filter(is_hosted).collect())
}
