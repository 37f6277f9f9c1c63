use super::not_found;
use crate::admin::AdminContext;
use crate::admin::caller::Caller;
use crate::admin::change_request::{ChangeRequest, etag, if_match};
use crate::admin::wire::{AssignProfileWire, ServiceWire};
use actix_web::{HttpRequest, HttpResponse, web};
use mangospindle_http::Problem;
use mangospindle_state::CommandKind;

pub(in crate::admin) async fn list(
    _caller: Caller,
    cx: web::Data<AdminContext>,
) -> Result<HttpResponse, Problem> {
    let config = cx.backend.config().await?;
    let all = config.topology.services.iter().map(ServiceWire::from);
    Ok(HttpResponse::Ok().json(all.collect::<Vec<_>>()))
}

pub(in crate::admin) async fn assign(
    caller: Caller,
    req: HttpRequest,
    cx: web::Data<AdminContext>,
    name: web::Path<String>,
    body: web::Json<AssignProfileWire>,
) -> Result<HttpResponse, Problem> {
    let config = cx.backend.config().await?;
    let change = ChangeRequest::new(cx, caller, &req)?;
    let service = config.topology.service_by_name(&name);
    let kind = CommandKind::AssignProfile {
        service: service.ok_or_else(|| not_found("service", &name))?,
        profile: body.profile.clone(),
        base_profile: if_match(&req)?.to_string(),
    };
    change.propose(kind, etag(&body.profile)).await
}
