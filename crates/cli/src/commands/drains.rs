use super::{changed, show};
use crate::client::{Change, Client, segment};
use crate::table::{Table, ms_or_dash, or_dash};
use crate::{Done, DrainAction, Exit, Failure};
use awc::http::Method;
use mangospindle_control::admin::wire::{
    DrainReportWire, EndpointWire, SetEndpointDrainWire, StatusWire,
};
use serde::Serialize;
use serde_json::json;

pub(super) async fn change(
    client: &Client,
    json: bool,
    action: DrainAction,
    endpoint: &str,
) -> Result<Done, Failure> {
    let body = SetEndpointDrainWire {
        drain: action == DrainAction::Start,
    };
    let change = Change {
        method: Method::PUT,
        path: format!("/v1/endpoints/{}/drain", segment(endpoint)),
        precondition: None,
        body: Some(json!(body)),
    };
    changed(json, &client.change(change).await?)
}

#[derive(Serialize)]
struct Progress {
    endpoint: String,
    owner: Option<String>,
    in_progress: Option<u32>,
    drain_time_ms: Option<u64>,
}

/// Each owner reports to one replica, so that the reports of all replicas are combined.
pub(super) async fn status(client: &Client, json: bool) -> Result<Done, Failure> {
    let endpoints: Vec<EndpointWire> = client.get("/v1/endpoints").await?;
    let mut reports: Vec<DrainReportWire> = Vec::new();
    for server in client.servers() {
        let status: Result<StatusWire, _> = client.get_from(server, "/v1/status").await;
        reports.extend(status.into_iter().flat_map(|s| s.drains));
    }
    let drained = endpoints.into_iter().filter(|e| e.drain);
    let progress: Vec<Progress> = drained
        .map(|e| {
            let of_endpoint = || reports.iter().filter(|r| r.name == e.name);
            Progress {
                in_progress: of_endpoint().find_map(|r| r.in_progress),
                drain_time_ms: of_endpoint().find_map(|r| r.drain_time_ms),
                owner: e.owner,
                endpoint: e.name,
            }
        })
        .collect();
    let done = show(json, &progress, || {
        let mut table = Table::new(&["endpoint", "owner", "in progress", "drained in"]);
        for item in &progress {
            table.row(vec![
                item.endpoint.clone(),
                or_dash(item.owner.as_ref()),
                or_dash(item.in_progress),
                ms_or_dash(item.drain_time_ms),
            ]);
        }
        table.render()
    })?;
    // An endpoint without a report may still have requests in progress.
    let complete = progress.iter().all(|p| p.in_progress == Some(0));
    let exit = if complete {
        Exit::Done
    } else {
        Exit::Different
    };
    Ok(Done { exit, ..done })
}
