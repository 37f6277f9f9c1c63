use crate::admin::AdminContext;
use crate::admin::caller::Caller;
use actix_web::http::header::ContentType;
use actix_web::{HttpResponse, web};
use mangospindle_http::Problem;
use mangospindle_model::ErrorKind;

/// Content type of the Prometheus text format.
const METRICS_CONTENT_TYPE: &str = "text/plain; version=0.0.4";

pub(in crate::admin) async fn live() -> HttpResponse {
    HttpResponse::Ok()
        .content_type(ContentType::plaintext())
        .body("live\n")
}

pub(in crate::admin) async fn ready(cx: web::Data<AdminContext>) -> Result<HttpResponse, Problem> {
    match cx.backend.status().await?.ready {
        true => Ok(HttpResponse::Ok()
            .content_type(ContentType::plaintext())
            .body("ready\n")),
        false => Err(Problem::new(
            ErrorKind::NoQuorum,
            "this replica is not ready",
        )),
    }
}

pub(in crate::admin) async fn metrics(
    _caller: Caller,
    cx: web::Data<AdminContext>,
) -> HttpResponse {
    HttpResponse::Ok()
        .content_type(METRICS_CONTENT_TYPE)
        .body(cx.backend.metrics())
}
