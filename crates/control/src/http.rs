use crate::admin::{AdminContext, Tokens, configure};
use crate::backend::ReplicaBackend;
use actix_web::{App, HttpServer};
use mangospindle_http::CallerConnection;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

/// Starts the HTTP server of the administration API with a single dedicated worker thread.
///
/// Returns an error if the address cannot be bound.
pub(crate) fn start_http(
    address: SocketAddr,
    backend: Arc<ReplicaBackend>,
    tokens: Tokens,
) -> io::Result<()> {
    let cx = AdminContext::new(backend, tokens);
    let server = HttpServer::new(move || App::new().configure(configure(cx.clone())))
        .on_connect(CallerConnection::register)
        .workers(1)
        .disable_signals()
        .bind(address)?
        .run();
    actix_rt::spawn(server);
    Ok(())
}
