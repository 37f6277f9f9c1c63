use super::not_found;
use crate::admin::AdminContext;
use crate::admin::caller::Caller;
use crate::admin::change_request::ChangeRequest;
use crate::admin::wire::{EndpointWire, NewEndpointWire, SetEndpointDrainWire};
use actix_web::{HttpRequest, HttpResponse, web};
use mangospindle_http::Problem;
use mangospindle_state::CommandKind;

pub(in crate::admin) async fn list(
    _caller: Caller,
    cx: web::Data<AdminContext>,
) -> Result<HttpResponse, Problem> {
    let config = cx.backend.config().await?;
    let ids = config.topology.endpoint_ids();
    let endpoints = ids.map(|id| EndpointWire::new(&config, id));
    Ok(HttpResponse::Ok().json(endpoints.collect::<Vec<_>>()))
}

pub(in crate::admin) async fn add(
    caller: Caller,
    req: HttpRequest,
    cx: web::Data<AdminContext>,
    body: web::Json<NewEndpointWire>,
) -> Result<HttpResponse, Problem> {
    let change = ChangeRequest::new(cx.clone(), caller, &req)?;
    let config = cx.backend.config().await?;
    let endpoint = body.into_inner().resolve(&config.topology)?;
    change
        .propose(CommandKind::AddEndpoint { endpoint }, None)
        .await
}

pub(in crate::admin) async fn set_drain(
    caller: Caller,
    req: HttpRequest,
    cx: web::Data<AdminContext>,
    name: web::Path<String>,
    body: web::Json<SetEndpointDrainWire>,
) -> Result<HttpResponse, Problem> {
    let change = ChangeRequest::new(cx.clone(), caller, &req)?;
    let config = cx.backend.config().await?;
    let endpoint = config.topology.endpoint_by_name(&name);
    let kind = CommandKind::SetEndpointDrain {
        endpoint: endpoint.ok_or_else(|| not_found("endpoint", &name))?,
        drain: body.drain,
    };
    change.propose(kind, None).await
}
