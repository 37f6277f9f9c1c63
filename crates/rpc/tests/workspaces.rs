//! Workspaces in the replies to entries that watch the configuration.

#![allow(clippy::unwrap_used)] // Helper functions fail the test by panicking.

#[allow(
    dead_code,
    clippy::all,
    clippy::unimplemented,
    clippy::redundant_clone,
    unused_import_braces,
    rust_2018_idioms
)]
#[rustfmt::skip]
#[path = "../src/control_capnp.rs"]
mod control_capnp;
#[path = "support/fake_service.rs"]
mod fake_service;

use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::{RpcSystem, twoparty};
use control_capnp::{control, watch_reply};
use fake_service::FakeService;
use mangospindle_model::{
    Allowance, Clock, EndpointService, KeyDigest, MonotonicClock, RouteKey, Workspace,
    WorkspaceTable,
};
use mangospindle_rpc::{
    ControlClient, ControlClientSettings, TrafficCounters, WatchContent, serve,
};
use mangospindle_state::{Config, ConfigChange};
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{LocalSet, spawn_local};
use tokio_util::compat::{TokioAsyncReadCompatExt, TokioAsyncWriteCompatExt};

const TEST_TIMEOUT: Duration = Duration::from_secs(20);

fn run_local<F>(test: F)
where
    F: Future<Output = ()>,
{
    let mut builder = tokio::runtime::Builder::new_current_thread();
    let runtime = builder.enable_all().build().unwrap();
    runtime.block_on(LocalSet::new().run_until(test));
}

fn clock() -> Arc<dyn Clock> {
    Arc::new(MonotonicClock::new())
}

async fn start_server(service: &Rc<FakeService>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let counters = TrafficCounters::default();
    spawn_local(serve(listener, service.clone(), clock(), counters));
    address
}

fn start_client(address: SocketAddr) -> ControlClient {
    let settings = ControlClientSettings {
        replicas: vec![address],
        clock: clock(),
        report: None,
    };
    ControlClient::start(settings).unwrap()
}

/// Waits until a client has a version of the configuration, and returns it.
async fn config_of(client: &ControlClient, version: u64) -> Config {
    let mut views = client.subscribe();
    let reached = views.wait_for(|view| view.config.version == version);
    let view = tokio::time::timeout(TEST_TIMEOUT, reached).await;
    Config::clone(&view.unwrap().unwrap().config)
}

/// The encoded configuration in the reply to a caller that has none.
async fn encoded_config(address: SocketAddr) -> Vec<u8> {
    let (reader, writer) = TcpStream::connect(address).await.unwrap().into_split();
    let network = twoparty::VatNetwork::new(
        futures::io::BufReader::new(reader.compat()),
        futures::io::BufWriter::new(writer.compat_write()),
        Side::Client,
        capnp::message::ReaderOptions::default(),
    );
    let mut system = RpcSystem::new(Box::new(network), None);
    let client: control::Client = system.bootstrap(Side::Server);
    let driver = spawn_local(system);
    let response = client.watch_request().send().promise.await.unwrap();
    driver.abort();
    let reply = response.get().unwrap().get_reply().unwrap();
    match reply.get_content().which().unwrap() {
        watch_reply::content::Which::Config(bytes) => bytes.unwrap().to_vec(),
        _ => panic!("the reply holds no configuration"),
    }
}

fn workspace(key: &str, rate: Option<f64>) -> Workspace {
    Workspace {
        keys: [KeyDigest::of(key.as_bytes())].into(),
        priority: 2,
        allowance: rate.map(|rate| Allowance { rate, burst: 7.0 }),
        home_regions: vec!["north".to_string()],
    }
}

fn two_workspaces() -> WorkspaceTable {
    let workspaces = [
        ("a", workspace("k1", Some(3.5))),
        ("b", workspace("k2", None)),
    ];
    let public_route = RouteKey {
        host: "shop.example".to_string(),
        prefix: "/open/".to_string(),
    };
    WorkspaceTable {
        workspaces: workspaces.map(|(name, w)| (name.to_string(), w)).into(),
        public_routes: [public_route].into(),
    }
}

/// A configuration with content before and after the route table.
fn config(version: u64, workspaces: WorkspaceTable) -> Config {
    let mut config = Config {
        version,
        evacuated: ["d".to_string()].into(),
        ..Config::default()
    };
    config.routes.number = version;
    let service = EndpointService {
        health_path: "/health".to_string(),
        max_connections: 3,
        cold_start: Duration::ZERO,
        cold_rate: 1.0,
    };
    config.routes.services.insert("s".to_string(), service);
    config.routes.workspaces = workspaces;
    config
}

/// Guards against workspaces that do not reach an entry, with the whole configuration or with a change,
/// and against workspaces that stay after they were removed.
#[test]
fn entries_receive_workspaces() {
    struct Case {
        name: &'static str,
        workspaces: WorkspaceTable,
        /// Whether the reply has changes in place of the whole configuration.
        as_change: bool,
    }
    let mut changed = two_workspaces();
    changed.workspaces.remove("a");
    changed.workspaces.get_mut("b").unwrap().keys.clear();
    changed.public_routes.clear();
    let case = |name, workspaces: &WorkspaceTable, as_change| Case {
        name,
        workspaces: workspaces.clone(),
        as_change,
    };
    let none = WorkspaceTable::default();
    let cases = [
        case("first whole configuration", &two_workspaces(), false),
        case("change", &changed, true),
        case(
            "whole configuration in place of another",
            &two_workspaces(),
            false,
        ),
        case("removal in a change", &none, true),
        case("addition in a change", &two_workspaces(), true),
        case("whole configuration without workspaces", &none, false),
    ];
    run_local(async {
        let service = Rc::new(FakeService::new(0));
        let client = start_client(start_server(&service).await);
        let mut current = Config::default();
        for (n, case) in cases.into_iter().enumerate() {
            let next = config(n as u64 + 1, case.workspaces);
            let content = match case.as_change {
                true => {
                    let routes = Box::new(current.routes.change_to(&next.routes));
                    let workspaces = current.routes.workspaces.change_to(&next.routes.workspaces);
                    let workspaces = Box::new(workspaces.unwrap());
                    let change = ConfigChange::UpdateRoutesAndWorkspaces(routes, workspaces);
                    WatchContent::Changes(vec![change])
                }
                false => WatchContent::Config(Box::new(next.clone())),
            };
            service.content.replace(Some(content));
            service.version.set(next.version);
            let received = config_of(&client, next.version).await;
            assert_eq!(received, next, "{}", case.name);
            current = next;
        }
    });
}

/// Guards against a reply that differs from that of earlier builds although there are no workspaces, and
/// against workspaces that keep an earlier build from reading the configuration before them.
#[test]
fn earlier_builds_read_the_whole_configuration() {
    struct Case {
        name: &'static str,
        workspaces: WorkspaceTable,
    }
    let cases = [
        Case {
            name: "no workspaces",
            workspaces: WorkspaceTable::default(),
        },
        Case {
            name: "workspaces",
            workspaces: two_workspaces(),
        },
    ];
    run_local(async {
        for case in cases {
            let has_workspaces = !case.workspaces.is_empty();
            let sent = config(3, case.workspaces);
            let service = Rc::new(FakeService::new(sent.version));
            service
                .content
                .replace(Some(WatchContent::Config(Box::new(sent.clone()))));
            let bytes = encoded_config(start_server(&service).await).await;
            let expected = config(3, WorkspaceTable::default());
            let expected_bytes = postcard::to_stdvec(&expected).unwrap();
            assert!(bytes.starts_with(&expected_bytes), "{}", case.name);
            let has_more = bytes.len() > expected_bytes.len();
            assert_eq!(has_more, has_workspaces, "{}", case.name);
            // Earlier builds decode the bytes like this.
            let read: Config = postcard::from_bytes(&bytes).unwrap();
            assert_eq!(read, expected, "{}", case.name);
        }
    });
}
