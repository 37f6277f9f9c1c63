use super::not_found;
use crate::admin::AdminContext;
use crate::admin::caller::Caller;
use crate::admin::wire::{WorkspacePageWire, WorkspaceWire};
use actix_web::{HttpResponse, web};
use mangospindle_allowance::WorkspaceUsage;
use mangospindle_http::Problem;
use mangospindle_model::ErrorKind;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::ops::Bound;

/// Maximum number of workspaces in a page, and the number if the request has no `limit`.
const MAX_LIMIT: usize = 10_000;

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(in crate::admin) struct PageQuery {
    /// The page starts after this name.
    #[serde(default)]
    after: String,
    limit: Option<usize>,
}

pub(in crate::admin) async fn list(
    _caller: Caller,
    cx: web::Data<AdminContext>,
    query: web::Query<PageQuery>,
) -> Result<HttpResponse, Problem> {
    let limit = query.limit.unwrap_or(MAX_LIMIT);
    if !(1..=MAX_LIMIT).contains(&limit) {
        let detail = format!("limit is 1 to {MAX_LIMIT}");
        return Err(Problem::new(ErrorKind::BadRequest, detail));
    }
    let config = cx.backend.config().await?;
    let usage = usage_by_name(&cx);
    let after = Bound::Excluded(query.after.as_str());
    let all = &config.routes.workspaces.workspaces;
    let mut following = all.range::<str, _>((after, Bound::Unbounded));
    let page = following.by_ref().take(limit);
    let page = page.map(|(name, w)| WorkspaceWire::new(name, w, usage.get(name)));
    Ok(HttpResponse::Ok().json(WorkspacePageWire {
        workspaces: page.collect(),
        more: following.next().is_some(),
    }))
}

pub(in crate::admin) async fn get(
    _caller: Caller,
    cx: web::Data<AdminContext>,
    name: web::Path<String>,
) -> Result<HttpResponse, Problem> {
    let config = cx.backend.config().await?;
    let workspace = config.routes.workspaces.workspaces.get(name.as_str());
    let workspace = workspace.ok_or_else(|| not_found("workspace", &name))?;
    let all = cx.backend.workspace_usage();
    let usage = all.iter().find(|u| u.workspace == *name);
    Ok(HttpResponse::Ok().json(WorkspaceWire::new(&name, workspace, usage)))
}

fn usage_by_name(cx: &AdminContext) -> BTreeMap<String, WorkspaceUsage> {
    let usage = cx.backend.workspace_usage().into_iter();
    usage.map(|u| (u.workspace.clone(), u)).collect()
}
