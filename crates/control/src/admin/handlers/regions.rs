use super::not_found;
use crate::admin::AdminContext;
use crate::admin::caller::Caller;
use crate::admin::change_request::{ChangeRequest, etag, if_match_number};
use crate::admin::wire::{RegionWire, SetRegionLimitWire};
use actix_web::{HttpRequest, HttpResponse, web};
use mangospindle_http::Problem;
use mangospindle_state::CommandKind;

pub(in crate::admin) async fn list(
    _caller: Caller,
    cx: web::Data<AdminContext>,
) -> Result<HttpResponse, Problem> {
    let config = cx.backend.config().await?;
    let all = config.topology.regions.iter().map(RegionWire::from);
    Ok(HttpResponse::Ok().json(all.collect::<Vec<_>>()))
}

pub(in crate::admin) async fn set_limit(
    caller: Caller,
    req: HttpRequest,
    cx: web::Data<AdminContext>,
    name: web::Path<String>,
    body: web::Json<SetRegionLimitWire>,
) -> Result<HttpResponse, Problem> {
    let config = cx.backend.config().await?;
    let change = ChangeRequest::new(cx, caller, &req)?;
    let region = config.topology.region_by_name(&name);
    let kind = CommandKind::SetRegionLimit {
        region: region.ok_or_else(|| not_found("region", &name))?,
        max_in_progress: body.max_in_progress,
        base: if_match_number(&req)?,
    };
    change.propose(kind, etag(body.max_in_progress)).await
}
