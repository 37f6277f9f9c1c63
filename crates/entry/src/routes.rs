//! Dispatch of requests to handlers by path.

use crate::problem::problem;
use crate::public_api::SERVICE_PATH;
use crate::remote::{FORWARD_PATH, RESERVE_PATH};
use crate::request_context::request_id;
use crate::request_error::RequestError;
use crate::server_state::ServerState;
use crate::{config_api, internal_api, lookup, public_api, status_api};
use actix_web::http::Method;
use actix_web::{HttpRequest, HttpResponse, web};
use mangospindle_model::ErrorKind;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::sync::Arc;

/// Path prefix of the states of at-most-once actions.
const ACTIONS_PATH: &str = "/v1/actions/";

/// Address of the listener for other entries. It tells their requests from those of callers.
#[derive(Clone, Copy, Debug)]
pub(crate) struct InternalAddress(pub(crate) SocketAddr);

/// Handles all requests of both listeners.
pub(crate) async fn route(
    shared: web::Data<Arc<ServerState>>,
    internal: web::Data<InternalAddress>,
    req: HttpRequest,
    payload: web::Payload,
) -> HttpResponse {
    let path = req.path();
    let is_get = req.method() == Method::GET;
    match req.app_config().local_addr() == internal.0 {
        _ if is_get && path == "/livez" => status_api::livez().await,
        _ if is_get && path == "/readyz" => status_api::readyz(shared).await,
        true if path.starts_with(FORWARD_PATH) => internal_api::forward(shared, req, payload).await,
        true if path.starts_with(RESERVE_PATH) && req.method() == Method::POST => {
            internal_api::reserve(shared, req).await
        }
        true if is_get => match path {
            "/internal/v1/ping" => internal_api::ping().await,
            "/internal/v1/probe" => internal_api::probe(shared).await,
            "/internal/v1/config" => match parse_query(&req) {
                Ok(query) => config_api::config(shared, query).await,
                Err(error) => problem(&error, &request_id(&req)),
            },
            "/metrics" => status_api::metrics(shared).await,
            "/v1/status" => status_api::status(shared).await,
            "/v1/explain" => match parse_query(&req) {
                Ok(query) => status_api::explain(shared, query).await,
                Err(error) => problem(&error, &request_id(&req)),
            },
            _ => not_found(&req),
        },
        false if path.starts_with(SERVICE_PATH) => {
            public_api::handle_service_request(shared, req, payload).await
        }
        false if is_get && path == "/v1/lookup" => match parse_query(&req) {
            Ok(query) => lookup::lookup(shared, &req, query),
            Err(error) => problem(&error, &request_id(&req)),
        },
        false if is_get && path.starts_with(ACTIONS_PATH) => {
            let service_and_key = path[ACTIONS_PATH.len()..].to_string();
            match service_and_key.split_once('/') {
                Some((service, key)) => public_api::action_state(shared, &req, service, key).await,
                None => not_found(&req),
            }
        }
        _ => not_found(&req),
    }
}

fn parse_query<T>(req: &HttpRequest) -> Result<T, RequestError>
where
    T: DeserializeOwned,
{
    web::Query::from_query(req.query_string())
        .map(web::Query::into_inner)
        .map_err(|e| RequestError::new(ErrorKind::BadRequest, e.to_string()))
}

fn not_found(req: &HttpRequest) -> HttpResponse {
    problem(&ErrorKind::NotFound.into(), &request_id(req))
}
