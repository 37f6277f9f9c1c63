use super::{changed, show};
use crate::client::{Change, Client, segment};
use crate::table::Table;
use crate::{Done, Exit, Failure};
use awc::http::Method;
use mangospindle_control::admin::wire::{RegionWire, SetRegionLimitWire};
use serde_json::json;

pub(super) async fn list(client: &Client, json: bool) -> Result<Done, Failure> {
    let all: Vec<RegionWire> = client.get("/v1/regions").await?;
    show(json, &all, || {
        let mut table = Table::new(&["name", "max in progress"]);
        for item in &all {
            table.row(vec![item.name.clone(), item.max_in_progress.to_string()]);
        }
        table.render()
    })
}

pub(super) async fn limit(
    client: &Client,
    json: bool,
    region: &str,
    limit: u32,
    base: Option<u32>,
) -> Result<Done, Failure> {
    let base = match base {
        Some(base) => base,
        None => {
            let all: Vec<RegionWire> = client.get("/v1/regions").await?;
            let found = all.into_iter().find(|r| r.name == region);
            let missing = || Failure::new(Exit::NotFound, format!("no region `{region}`"));
            found.ok_or_else(missing)?.max_in_progress
        }
    };
    let body = SetRegionLimitWire {
        max_in_progress: limit,
    };
    let change = Change {
        method: Method::PUT,
        path: format!("/v1/regions/{}/limit", segment(region)),
        precondition: Some(("If-Match", format!("\"{base}\""))),
        body: Some(json!(body)),
    };
    changed(json, &client.change(change).await?)
}
