//! Stand-in for the platform's list of live and leaving VMs.

use actix_web::{App, HttpResponse, HttpServer, dev::Server, web};
use mangospindle_model::Topology;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum VmState {
    Live,
    Leaving,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Vm {
    name: String,
    state: VmState,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct VmList {
    vms: Vec<Vm>,
}

/// Starts a list that holds all VMs of the topology as live; `PUT /vms` replaces it.
pub(crate) fn start(topology: &Topology, address: SocketAddr) -> std::io::Result<Server> {
    let entries = topology.entries.iter().map(|e| &e.name);
    let names = entries.chain(topology.endpoints.iter().map(|e| &e.name));
    let live = |name: &String| Vm {
        name: name.clone(),
        state: VmState::Live,
    };
    let vms = names.map(live).collect();
    let data = web::Data::from(Arc::new(Mutex::new(VmList { vms })));
    let server = HttpServer::new(move || {
        App::new()
            .app_data(data.clone())
            .route("/vms", web::get().to(get))
            .route("/vms", web::put().to(put))
    })
    .workers(1)
    .disable_signals()
    .bind(address)?
    .run();
    Ok(server)
}

async fn get(list: web::Data<Mutex<VmList>>) -> HttpResponse {
    HttpResponse::Ok().json(&*list.lock().unwrap_or_else(PoisonError::into_inner))
}

async fn put(list: web::Data<Mutex<VmList>>, new: web::Json<VmList>) -> HttpResponse {
    *list.lock().unwrap_or_else(PoisonError::into_inner) = new.into_inner();
    HttpResponse::NoContent().finish()
}
