use crate::admin::AdminContext;
use crate::admin::caller::Caller;
use crate::admin::wire::StatusWire;
use actix_web::{HttpResponse, web};
use mangospindle_http::Problem;

pub(in crate::admin) async fn get(
    _caller: Caller,
    cx: web::Data<AdminContext>,
) -> Result<HttpResponse, Problem> {
    let report = cx.backend.status().await?;
    Ok(HttpResponse::Ok().json(StatusWire::from(&report)))
}
