use crate::backend::StateBackend;
use actix_web::{App, HttpServer, rt};
use mangospindle_cli::{Done, Failure, execute, options};
use mangospindle_control::admin::{AdminContext, Tokens, configure};
use std::sync::Arc;

/// Starts the API on a free loopback port; it ends with the test's runtime.
pub fn start(backend: Arc<StateBackend>) -> String {
    let cx = AdminContext::new(backend, Tokens::default());
    let server = HttpServer::new(move || App::new().configure(configure(cx.clone())));
    let server = server.workers(1).disable_signals();
    let server = server.bind(("127.0.0.1", 0)).unwrap();
    let address = server.addrs()[0];
    rt::spawn(server.run());
    format!("http://{address}")
}

/// Parses and runs a command line.
pub async fn run(servers: &str, args: &[&str]) -> Result<Done, Failure> {
    let all: Vec<&str> = ["--server", servers].iter().chain(args).copied().collect();
    let parsed = options().run_inner(all.as_slice());
    execute(&parsed.unwrap_or_else(|e| panic!("{args:?}: {e:?}"))).await
}
