use crate::admin::AdminContext;
use crate::admin::caller::Caller;
use crate::admin::change_request::ChangeRequest;
use crate::admin::wire::{EntryWire, FenceVmWire, NewEntryWire, parse_incarnation};
use actix_web::{HttpRequest, HttpResponse, web};
use mangospindle_http::Problem;
use mangospindle_model::ErrorKind;
use mangospindle_state::CommandKind;

pub(in crate::admin) async fn list(
    _caller: Caller,
    cx: web::Data<AdminContext>,
) -> Result<HttpResponse, Problem> {
    let config = cx.backend.config().await?;
    let ids = config.topology.entry_ids();
    let entries = ids.map(|id| EntryWire::new(&config, id));
    Ok(HttpResponse::Ok().json(entries.collect::<Vec<_>>()))
}

pub(in crate::admin) async fn add(
    caller: Caller,
    req: HttpRequest,
    cx: web::Data<AdminContext>,
    body: web::Json<NewEntryWire>,
) -> Result<HttpResponse, Problem> {
    let change = ChangeRequest::new(cx.clone(), caller, &req)?;
    let config = cx.backend.config().await?;
    let entry = body.into_inner().resolve(&config.topology)?;
    change.propose(CommandKind::AddEntry { entry }, None).await
}

pub(in crate::admin) async fn fence(
    caller: Caller,
    req: HttpRequest,
    cx: web::Data<AdminContext>,
    name: web::Path<String>,
    body: web::Json<FenceVmWire>,
) -> Result<HttpResponse, Problem> {
    let change = ChangeRequest::new(cx, caller, &req)?;
    let malformed = || Problem::new(ErrorKind::BadRequest, "incarnation: not 16 hex digits");
    let incarnation = match &body.incarnation {
        None => None,
        Some(text) => Some(parse_incarnation(text).ok_or_else(malformed)?),
    };
    let kind = CommandKind::FenceVm {
        name: name.into_inner(),
        incarnation,
    };
    change.propose(kind, None).await
}
