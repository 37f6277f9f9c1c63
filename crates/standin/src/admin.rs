//! Administration API of the endpoint stand-ins of a process: reads the report and sets the
//! behaviour.

use crate::Behaviour;
use crate::fleet::Fleet;
use actix_web::{App, HttpResponse, HttpServer, dev::Server, web};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;

/// Body of `PUT /behaviour`.
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct BehaviourChange {
    /// Names of the endpoints to change; all endpoints if empty.
    #[serde(default)]
    endpoints: Vec<String>,
    behaviour: Behaviour,
}

/// Starts the HTTP server of the administration API.
pub(crate) fn start(fleet: Arc<Fleet>, address: SocketAddr) -> std::io::Result<Server> {
    let data = web::Data::from(fleet);
    let server = HttpServer::new(move || {
        App::new()
            .app_data(data.clone())
            .route("/report", web::get().to(get_report))
            .route("/behaviour", web::put().to(put_behaviour))
    })
    .workers(1)
    .disable_signals()
    .bind(address)?
    .run();
    Ok(server)
}

async fn get_report(fleet: web::Data<Fleet>) -> HttpResponse {
    HttpResponse::Ok().json(fleet.report())
}

async fn put_behaviour(
    fleet: web::Data<Fleet>,
    change: web::Json<BehaviourChange>,
) -> HttpResponse {
    match fleet.set_behaviour(&change.endpoints, change.behaviour) {
        0 => HttpResponse::NotFound().finish(),
        _ => HttpResponse::NoContent().finish(),
    }
}
