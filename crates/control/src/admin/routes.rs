use super::handlers::{
    actions, audit, endpoints, entries, health, profiles, regions, services, status, workspaces,
};
use super::{AdminContext, Role};
use actix_web::{HttpRequest, Route, web};
use mangospindle_http::Problem;
use mangospindle_model::ErrorKind;

/// Maximum size of a request body. The largest valid body, a profile, is smaller than 1 KiB.
pub const MAX_BODY_BYTES: usize = 64 * 1024;

/// An operation of the API.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[allow(
    missing_docs,
    reason = "the names are the operation identifiers of the API document"
)]
pub enum Operation {
    ListProfiles,
    GetProfile,
    PutProfile,
    DeleteProfile,
    GetProfileHistory,
    ListServices,
    AssignProfile,
    ListRegions,
    SetRegionLimit,
    ListEndpoints,
    AddEndpoint,
    SetEndpointDrain,
    ListEntries,
    AddEntry,
    FenceVm,
    GetAudit,
    GetStatus,
    GetAction,
    ListWorkspaces,
    GetWorkspace,
    GetLive,
    GetReady,
    GetMetrics,
}

/// A route of the API, as listed in [`ROUTES`].
#[derive(Clone, Copy, Debug)]
pub struct RouteInfo {
    /// Operation that the route performs.
    pub operation: Operation,
    /// HTTP method.
    pub method: &'static str,
    /// Path pattern with parameters in braces.
    pub path: &'static str,
    /// Role that the caller needs. `None` for probes, which need no token.
    pub role: Option<Role>,
}

const fn route_info(
    method: &'static str,
    path: &'static str,
    role: Option<Role>,
    operation: Operation,
) -> RouteInfo {
    RouteInfo {
        operation,
        method,
        path,
        role,
    }
}

const VIEWER: Option<Role> = Some(Role::Viewer);
const OPERATOR: Option<Role> = Some(Role::Operator);
const OWNER: Option<Role> = Some(Role::Owner);

/// All routes of the API.
pub const ROUTES: [RouteInfo; 23] = [
    route_info("GET", "/v1/profiles", VIEWER, Operation::ListProfiles),
    route_info("GET", "/v1/profiles/{name}", VIEWER, Operation::GetProfile),
    route_info(
        "PUT",
        "/v1/profiles/{name}",
        OPERATOR,
        Operation::PutProfile,
    ),
    route_info(
        "DELETE",
        "/v1/profiles/{name}",
        OWNER,
        Operation::DeleteProfile,
    ),
    route_info(
        "GET",
        "/v1/profiles/{name}/history",
        VIEWER,
        Operation::GetProfileHistory,
    ),
    route_info("GET", "/v1/services", VIEWER, Operation::ListServices),
    route_info(
        "PUT",
        "/v1/services/{name}/profile",
        OPERATOR,
        Operation::AssignProfile,
    ),
    route_info("GET", "/v1/regions", VIEWER, Operation::ListRegions),
    route_info(
        "PUT",
        "/v1/regions/{name}/limit",
        OPERATOR,
        Operation::SetRegionLimit,
    ),
    route_info("GET", "/v1/endpoints", VIEWER, Operation::ListEndpoints),
    route_info("POST", "/v1/endpoints", OWNER, Operation::AddEndpoint),
    route_info(
        "PUT",
        "/v1/endpoints/{name}/drain",
        OPERATOR,
        Operation::SetEndpointDrain,
    ),
    route_info("GET", "/v1/entries", VIEWER, Operation::ListEntries),
    route_info("POST", "/v1/entries", OWNER, Operation::AddEntry),
    route_info("POST", "/v1/vms/{name}/fence", OWNER, Operation::FenceVm),
    route_info("GET", "/v1/audit", VIEWER, Operation::GetAudit),
    route_info("GET", "/v1/status", VIEWER, Operation::GetStatus),
    route_info(
        "GET",
        "/v1/actions/{service}/{key}",
        VIEWER,
        Operation::GetAction,
    ),
    route_info("GET", "/v1/workspaces", VIEWER, Operation::ListWorkspaces),
    route_info(
        "GET",
        "/v1/workspaces/{name}",
        VIEWER,
        Operation::GetWorkspace,
    ),
    route_info("GET", "/livez", None, Operation::GetLive),
    route_info("GET", "/readyz", None, Operation::GetReady),
    route_info("GET", "/metrics", VIEWER, Operation::GetMetrics),
];

/// Registers the API with a server: `App::new().configure(admin::configure(cx))`.
pub fn configure(cx: AdminContext) -> impl FnOnce(&mut web::ServiceConfig) {
    move |cfg| {
        configure_routes(cfg, cx, |_| true);
        cfg.default_service(web::to(route_not_found));
    }
}

/// Registers only the operations that read workspaces, with a server that serves other paths too.
pub fn configure_workspaces(cx: AdminContext) -> impl FnOnce(&mut web::ServiceConfig) {
    let reads_workspaces = |operation| {
        matches!(
            operation,
            Operation::ListWorkspaces | Operation::GetWorkspace
        )
    };
    move |cfg| configure_routes(cfg, cx, reads_workspaces)
}

fn configure_routes(
    cfg: &mut web::ServiceConfig,
    cx: AdminContext,
    is_served: impl Fn(Operation) -> bool,
) {
    let bad_request = |kind: &str, e: &dyn std::fmt::Display| {
        actix_web::Error::from(Problem::new(ErrorKind::BadRequest, format!("{kind}: {e}")))
    };
    cfg.app_data(web::Data::new(cx))
        .app_data(
            (web::JsonConfig::default().limit(MAX_BODY_BYTES))
                .error_handler(move |e, _| bad_request("body", &e)),
        )
        .app_data(web::QueryConfig::default().error_handler(move |e, _| bad_request("query", &e)))
        .app_data(web::PathConfig::default().error_handler(move |e, _| bad_request("path", &e)));
    for info in ROUTES.iter().filter(|info| is_served(info.operation)) {
        cfg.route(info.path, handler(info.operation));
    }
}

async fn route_not_found(req: HttpRequest) -> Result<String, Problem> {
    let detail = format!("there is no {} {}", req.method(), req.path());
    Err(Problem::new(ErrorKind::NotFound, detail))
}

fn handler(operation: Operation) -> Route {
    match operation {
        Operation::ListProfiles => web::get().to(profiles::list),
        Operation::GetProfile => web::get().to(profiles::get),
        Operation::PutProfile => web::put().to(profiles::put),
        Operation::DeleteProfile => web::delete().to(profiles::delete),
        Operation::GetProfileHistory => web::get().to(audit::profile_history),
        Operation::ListServices => web::get().to(services::list),
        Operation::AssignProfile => web::put().to(services::assign),
        Operation::ListRegions => web::get().to(regions::list),
        Operation::SetRegionLimit => web::put().to(regions::set_limit),
        Operation::ListEndpoints => web::get().to(endpoints::list),
        Operation::AddEndpoint => web::post().to(endpoints::add),
        Operation::SetEndpointDrain => web::put().to(endpoints::set_drain),
        Operation::ListEntries => web::get().to(entries::list),
        Operation::AddEntry => web::post().to(entries::add),
        Operation::FenceVm => web::post().to(entries::fence),
        Operation::GetAudit => web::get().to(audit::page),
        Operation::GetStatus => web::get().to(status::get),
        Operation::GetAction => web::get().to(actions::get),
        Operation::ListWorkspaces => web::get().to(workspaces::list),
        Operation::GetWorkspace => web::get().to(workspaces::get),
        Operation::GetLive => web::get().to(health::live),
        Operation::GetReady => web::get().to(health::ready),
        Operation::GetMetrics => web::get().to(health::metrics),
    }
}
