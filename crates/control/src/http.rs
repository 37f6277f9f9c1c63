use crate::replica::Replica;
use crate::replica::messages::GetStatus;
use actix::Addr;
use actix_web::web::{Data, get};
use actix_web::{App, HttpResponse, HttpServer};
use mangospindle_telemetry::metrics_text;
use prometheus::Registry;
use std::io;
use std::net::SocketAddr;

/// Starts the HTTP listener with metrics and status, served by one thread of its own.
pub(crate) fn start_http(
    address: SocketAddr,
    registry: Registry,
    replica: Addr<Replica>,
) -> io::Result<()> {
    let server = HttpServer::new(move || {
        App::new()
            .app_data(Data::new(registry.clone()))
            .app_data(Data::new(replica.clone()))
            .route("/metrics", get().to(metrics))
            .route("/status", get().to(status))
    })
    .workers(1)
    .disable_signals()
    .bind(address)?
    .run();
    actix_rt::spawn(server);
    Ok(())
}

async fn metrics(registry: Data<Registry>) -> HttpResponse {
    match metrics_text(&registry) {
        Ok(text) => HttpResponse::Ok().content_type("text/plain").body(text),
        Err(e) => HttpResponse::InternalServerError().body(e.to_string()),
    }
}

async fn status(replica: Data<Addr<Replica>>) -> HttpResponse {
    match replica.send(GetStatus).await {
        Ok(status) => HttpResponse::Ok().json(status),
        Err(e) => HttpResponse::InternalServerError().body(e.to_string()),
    }
}
