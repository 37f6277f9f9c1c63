//! Which workspace a request belongs to, and whether it may be served for it.

use crate::gateway::Gateway;
use crate::inbound_request::InboundRequest;
use crate::origin::Origin;
use crate::protocol::Credentials;
use crate::relay::declined_response;
use crate::response::Response;
use actix_web::http::header::{HeaderMap, HeaderName, HeaderValue, WWW_AUTHENTICATE};
use mangospindle_allowance::AllowanceLimiter;
use mangospindle_model::{ErrorKind, KeyIndex, Route, RouteKey, RouteTable, WorkspaceTable};
use mangospindle_telemetry::event;
use std::cell::RefCell;
use std::time::Duration;
use tokio::sync::Notify;

/// Name of [`RELAYED_WORKSPACE`].
pub(crate) const RELAYED_WORKSPACE_NAME: &str = "x-mangospindle-workspace";

/// Header of a relayed request with the name of its workspace, in place of the key.
pub(crate) const RELAYED_WORKSPACE: HeaderName = HeaderName::from_static(RELAYED_WORKSPACE_NAME);

/// Keys and allowances of the workspaces in force.
pub(crate) struct Workspaces {
    keys: RefCell<KeyIndex>,
    pub(crate) allowances: RefCell<AllowanceLimiter>,
    /// Wakes the task that reports usage, ahead of its interval.
    pub(crate) report_now: Notify,
}

impl Workspaces {
    /// Without any workspace. The name and incarnation of the entry identify its reports of usage.
    pub(crate) fn new(entry: String, incarnation: u64) -> Self {
        Workspaces {
            keys: RefCell::default(),
            allowances: RefCell::new(AllowanceLimiter::new(entry, incarnation)),
            report_now: Notify::new(),
        }
    }

    /// Applies the workspaces of a new route table.
    pub(crate) fn update(&self, now: Duration, table: &WorkspaceTable) {
        self.keys.replace(KeyIndex::new(table));
        self.allowances.borrow_mut().set_limits(now, table);
    }

    fn find(&self, key: &[u8]) -> Option<String> {
        self.keys.borrow().find(key).map(str::to_string)
    }

    fn is_key(&self, bytes: &[u8]) -> bool {
        self.keys.borrow().find(bytes).is_some()
    }
}

/// What the access check found out about a request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Access {
    /// Name of the workspace; `None` if the route needs no key.
    pub(crate) workspace: Option<String>,
    /// Priority of the workspace.
    pub(crate) priority: Option<u32>,
    /// Regions that may serve the request; all of them if empty.
    pub(crate) home_regions: Vec<String>,
    /// Whether the configuration holds workspaces.
    has_workspaces: bool,
    /// Whether the request was charged to the allowance of its workspace.
    charged: bool,
}

/// Why a request is rejected before it is dispatched. Such a request has not run.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Rejection {
    /// There is no key, or it belongs to no workspace.
    Unauthorized(&'static str),
    /// No region is a home of both the route and the workspace.
    NoHome,
    /// The workspace has used up its allowance.
    OverAllowance {
        workspace: String,
        retry_after: Duration,
    },
    /// Another entry relayed the request for a workspace that is not known here.
    UnknownWorkspace,
}

/// Identifies the workspace of a request and charges its allowance. Removes the caller's credentials, so
/// that neither endpoints nor other entries receive them.
///
/// # Errors
///
/// Returns the response if the request may not be served.
pub(crate) fn check_access(
    gateway: &Gateway,
    inbound: &mut InboundRequest,
    id: &str,
    origin: Origin,
    routes: &RouteTable,
    (key, route): (&RouteKey, &Route),
) -> Result<Access, Response> {
    if routes.workspaces.is_empty() {
        // An entry with a newer configuration relays for a workspace whose home regions are not known here.
        let names_workspace = inbound.headers.contains_key(RELAYED_WORKSPACE);
        return match origin {
            Origin::Entry if names_workspace => {
                Err(reject(gateway, id, route, Rejection::UnknownWorkspace))
            }
            Origin::Entry | Origin::Caller => Ok(Access {
                home_regions: route.home_regions.clone(),
                ..Access::default()
            }),
        };
    }
    let result = identify(gateway, inbound, origin, &routes.workspaces, key)
        .and_then(|workspace| admit(gateway, origin, &routes.workspaces, route, workspace));
    result.map_err(|rejection| reject(gateway, id, route, rejection))
}

impl Access {
    /// Sets the header with the workspace in what is sent to an endpoint or another entry. Called after the
    /// caller's hop-by-hop headers were removed: a caller can name any header as one of these.
    pub(crate) fn set_workspace_header(&self, gateway: &Gateway, headers: &mut HeaderMap) {
        if self.has_workspaces {
            (gateway.protocol).set_workspace(headers, self.workspace.as_deref());
        }
    }
}

/// Gives back what a request was charged if it was rejected, here or by the entry that it was relayed to, and
/// has not run.
pub(crate) fn refund(gateway: &Gateway, access: &Access, response: &Response) {
    let not_run = response.not_run;
    if let Some(workspace) = access
        .workspace
        .as_deref()
        .filter(|_| access.charged && not_run)
    {
        let mut allowances = gateway.workspaces.allowances.borrow_mut();
        allowances.refund(gateway.now(), workspace);
    }
}

/// Finds the workspace of a request and removes its credentials. `None` if the route needs none.
fn identify(
    gateway: &Gateway,
    inbound: &mut InboundRequest,
    origin: Origin,
    table: &WorkspaceTable,
    key: &RouteKey,
) -> Result<Option<String>, Rejection> {
    let relayed = inbound.headers.remove(RELAYED_WORKSPACE).next();
    if !table.requires_key(key) {
        // Public routes may use the header for other credentials than keys of workspaces.
        let is_key = |bytes: &[u8]| gateway.workspaces.is_key(bytes);
        (gateway.protocol).remove_keys(&mut inbound.headers, &is_key);
        return Ok(None);
    }
    let credentials = gateway.protocol.credentials(&inbound.headers);
    gateway.protocol.remove_credentials(&mut inbound.headers);
    match (origin, credentials) {
        (Origin::Entry, _) => known_workspace(table, relayed.as_ref()).map(Some),
        (Origin::Caller, Credentials::None) => Err(Rejection::Unauthorized("no_key")),
        (Origin::Caller, Credentials::Unusable) => Err(Rejection::Unauthorized("unusable_key")),
        (Origin::Caller, Credentials::Key(key)) => {
            let workspace = gateway.workspaces.find(&key).map(Some);
            workspace.ok_or(Rejection::Unauthorized("unknown_key"))
        }
    }
}

/// The workspace that another entry named, if this entry knows it.
fn known_workspace(
    table: &WorkspaceTable,
    name: Option<&HeaderValue>,
) -> Result<String, Rejection> {
    let name = name.and_then(|value| value.to_str().ok());
    let known = name.filter(|name| table.workspaces.contains_key(*name));
    known.map(str::to_string).ok_or(Rejection::UnknownWorkspace)
}

/// Combines the home regions of the route and the workspace, and charges the allowance.
fn admit(
    gateway: &Gateway,
    origin: Origin,
    table: &WorkspaceTable,
    route: &Route,
    workspace: Option<String>,
) -> Result<Access, Rejection> {
    let Some((name, settings)) = workspace.and_then(|n| table.workspaces.get_key_value(&n)) else {
        return Ok(Access {
            home_regions: route.home_regions.clone(),
            has_workspaces: true,
            ..Access::default()
        });
    };
    let home_regions =
        common_regions(&route.home_regions, &settings.home_regions).ok_or(Rejection::NoHome)?;
    // The entry that relayed the request has charged it already.
    let charged = origin == Origin::Caller && settings.allowance.is_some();
    if charged {
        let now = gateway.now();
        let mut allowances = gateway.workspaces.allowances.borrow_mut();
        let admitted = allowances.admit(now, name);
        if allowances.wants_report() {
            gateway.workspaces.report_now.notify_one();
        }
        admitted.map_err(|retry_after| Rejection::OverAllowance {
            workspace: name.clone(),
            retry_after,
        })?;
    }
    Ok(Access {
        workspace: Some(name.clone()),
        priority: Some(settings.priority),
        home_regions,
        has_workspaces: true,
        charged,
    })
}

/// The regions in both lists, where an empty list stands for all regions. `None` if there is none.
fn common_regions(of_route: &[String], of_workspace: &[String]) -> Option<Vec<String>> {
    match (of_route, of_workspace) {
        (regions, []) | ([], regions) => Some(regions.to_vec()),
        (of_route, of_workspace) => {
            let common = of_route.iter().filter(|r| of_workspace.contains(r));
            let common: Vec<String> = common.cloned().collect();
            (!common.is_empty()).then_some(common)
        }
    }
}

/// The response to a rejected request.
fn reject(gateway: &Gateway, id: &str, route: &Route, rejection: Rejection) -> Response {
    let count = |reason: &str| gateway.metrics.refusals.with_label_values(&[reason]).inc();
    let response = match rejection {
        Rejection::Unauthorized(reason) => {
            count("unauthorized");
            event!(Info, "request_unauthorized", "request" => id, "route" => route.name,
                "reason" => reason);
            let mut response = Response::error(ErrorKind::Unauthorized, "a key is required", None);
            let challenge = HeaderValue::from_static("Bearer");
            response.headers.insert(WWW_AUTHENTICATE, challenge);
            response
        }
        Rejection::NoHome => {
            count("no_home");
            event!(Info, "request_without_home", "request" => id, "route" => route.name);
            Response::error(ErrorKind::NoEndpoint, "no common home region", None)
        }
        Rejection::OverAllowance {
            workspace,
            retry_after,
        } => {
            count("over_allowance");
            event!(Debug, "request_over_allowance", "request" => id, "route" => route.name,
                "workspace" => workspace,
                "retry_after_ms" => retry_after.as_millis());
            let detail = "the workspace has used up its allowance";
            Response::error(ErrorKind::OverAllowance, detail, Some(retry_after))
        }
        Rejection::UnknownWorkspace => {
            count("unknown_workspace");
            event!(Info, "relayed_workspace_unknown", "request" => id, "route" => route.name);
            declined_response()
        }
    };
    gateway.metrics.count_response(response.status.as_str());
    response
}
