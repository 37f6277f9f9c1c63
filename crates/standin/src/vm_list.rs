//! Stand-in for the platform's list of live and leaving VMs.

use actix_web::http::header::{ETAG, IF_NONE_MATCH};
use actix_web::{App, HttpRequest, HttpResponse, HttpServer, dev::Server, web};
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

/// The VM list with its version, which is its entity tag. Each `PUT /vms` increments the version.
struct VersionedVmList {
    version: u64,
    list: VmList,
}

/// Starts the HTTP server of the list. Initially all VMs of the topology are live; `PUT /vms`
/// replaces the list.
pub(crate) fn start(topology: &Topology, address: SocketAddr) -> std::io::Result<Server> {
    let entries = topology.entries.iter().map(|e| &e.name);
    let names = entries.chain(topology.endpoints.iter().map(|e| &e.name));
    let live_vm = |name: &String| Vm {
        name: name.clone(),
        state: VmState::Live,
    };
    let vms = names.map(live_vm).collect();
    let list = VersionedVmList {
        version: 1,
        list: VmList { vms },
    };
    let data = web::Data::from(Arc::new(Mutex::new(list)));
    let server = HttpServer::new(move || {
        App::new()
            .app_data(data.clone())
            .route("/vms", web::get().to(get_vm_list))
            .route("/vms", web::put().to(put_vm_list))
    })
    .workers(1)
    .disable_signals()
    .bind(address)?
    .run();
    Ok(server)
}

async fn get_vm_list(list: web::Data<Mutex<VersionedVmList>>, req: HttpRequest) -> HttpResponse {
    let list = list.lock().unwrap_or_else(PoisonError::into_inner);
    let tag = format!("\"{}\"", list.version);
    let client_tag = req.headers().get(IF_NONE_MATCH);
    match client_tag.is_some_and(|client_tag| client_tag.as_bytes() == tag.as_bytes()) {
        true => HttpResponse::NotModified().finish(),
        false => HttpResponse::Ok()
            .insert_header((ETAG, tag))
            .json(&list.list),
    }
}

async fn put_vm_list(
    list: web::Data<Mutex<VersionedVmList>>,
    new_list: web::Json<VmList>,
) -> HttpResponse {
    let mut list = list.lock().unwrap_or_else(PoisonError::into_inner);
    list.version += 1;
    list.list = new_list.into_inner();
    HttpResponse::NoContent().finish()
}
