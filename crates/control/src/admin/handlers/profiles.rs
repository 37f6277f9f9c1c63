use super::not_found;
use crate::admin::AdminContext;
use crate::admin::caller::Caller;
use crate::admin::change_request::{ChangeRequest, base_version, etag, if_match_number};
use crate::admin::wire::{ProfileWire, VersionedProfileWire};
use actix_web::http::header::ETAG;
use actix_web::{HttpRequest, HttpResponse, web};
use mangospindle_http::Problem;
use mangospindle_model::{ErrorKind, Profile};
use mangospindle_state::CommandKind;

pub(in crate::admin) async fn list(
    _caller: Caller,
    cx: web::Data<AdminContext>,
) -> Result<HttpResponse, Problem> {
    let config = cx.backend.config().await?;
    let all = config.profiles.values().map(VersionedProfileWire::from);
    Ok(HttpResponse::Ok().json(all.collect::<Vec<_>>()))
}

pub(in crate::admin) async fn get(
    _caller: Caller,
    cx: web::Data<AdminContext>,
    name: web::Path<String>,
) -> Result<HttpResponse, Problem> {
    let config = cx.backend.config().await?;
    let versioned = config.profiles.get(name.as_str());
    let versioned = versioned.ok_or_else(|| not_found("profile", &name))?;
    Ok(HttpResponse::Ok()
        .insert_header((ETAG, format!("\"{}\"", versioned.version)))
        .json(VersionedProfileWire::from(versioned)))
}

pub(in crate::admin) async fn put(
    caller: Caller,
    req: HttpRequest,
    cx: web::Data<AdminContext>,
    name: web::Path<String>,
    body: web::Json<ProfileWire>,
) -> Result<HttpResponse, Problem> {
    let change = ChangeRequest::new(cx, caller, &req)?;
    let base_version = base_version(&req)?;
    let wire = body.into_inner();
    if wire.name != *name {
        let detail = "the names in the path and in the body differ";
        return Err(Problem::new(ErrorKind::BadRequest, detail));
    }
    let invalid = |reason| Problem::new(ErrorKind::InvalidChange, reason);
    let profile = Profile::try_from(wire).map_err(invalid)?;
    let kind = CommandKind::PutProfile {
        profile,
        base_version,
    };
    // The version of a new profile depends on deleted profiles and is not known here.
    let tag = match base_version {
        0 => None,
        base => etag(base.saturating_add(1)),
    };
    change.propose(kind, tag).await
}

pub(in crate::admin) async fn delete(
    caller: Caller,
    req: HttpRequest,
    cx: web::Data<AdminContext>,
    name: web::Path<String>,
) -> Result<HttpResponse, Problem> {
    let change = ChangeRequest::new(cx, caller, &req)?;
    let kind = CommandKind::DeleteProfile {
        base_version: if_match_number(&req)?,
        name: name.into_inner(),
    };
    change.propose(kind, None).await
}
