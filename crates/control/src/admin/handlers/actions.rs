use super::not_found;
use crate::admin::AdminContext;
use crate::admin::caller::Caller;
use crate::admin::wire::ActionWire;
use actix_web::{HttpResponse, web};
use mangospindle_http::Problem;
use mangospindle_state::ClaimKey;

pub(in crate::admin) async fn get(
    _caller: Caller,
    cx: web::Data<AdminContext>,
    path: web::Path<(String, String)>,
) -> Result<HttpResponse, Problem> {
    let (service, key) = path.into_inner();
    let config = cx.backend.config().await?;
    let id = config.topology.service_by_name(&service);
    let claim = ClaimKey {
        service: id.ok_or_else(|| not_found("service", &service))?,
        key: key.clone(),
    };
    let outcome = cx.backend.claim(claim).await?;
    let action = ActionWire::new(service, key, &outcome);
    let action = action.ok_or_else(|| not_found("action with this key", ""))?;
    Ok(HttpResponse::Ok().json(action))
}
