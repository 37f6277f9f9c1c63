use super::{changed, show};
use crate::client::{Change, Client, segment};
use crate::table::{Table, or_dash};
use crate::{Done, Failure};
use awc::http::Method;
use mangospindle_control::admin::wire::{EndpointWire, EntryWire, FenceVmWire};
use serde_json::json;

pub(super) async fn entries(client: &Client, json: bool) -> Result<Done, Failure> {
    let all: Vec<EntryWire> = client.get("/v1/entries").await?;
    show(json, &all, || {
        let header = [
            "name",
            "failure domain",
            "status",
            "incarnation",
            "endpoints",
            "address",
        ];
        let mut table = Table::new(&header);
        for item in &all {
            table.row(vec![
                item.name.clone(),
                item.failure_domain.clone(),
                item.status.clone(),
                or_dash(item.incarnation.as_ref()),
                item.endpoints.to_string(),
                item.public_address.to_string(),
            ]);
        }
        table.render()
    })
}

pub(super) async fn endpoints(client: &Client, json: bool) -> Result<Done, Failure> {
    let all: Vec<EndpointWire> = client.get("/v1/endpoints").await?;
    show(json, &all, || {
        let header = [
            "name",
            "service",
            "failure domain",
            "owner",
            "epoch",
            "takeover",
            "drain",
        ];
        let mut table = Table::new(&header);
        for item in &all {
            table.row(vec![
                item.name.clone(),
                item.service.clone(),
                item.failure_domain.clone(),
                or_dash(item.owner.as_ref()),
                item.epoch.to_string(),
                item.takeover.clone(),
                item.drain.to_string(),
            ]);
        }
        table.render()
    })
}

pub(super) async fn fence(
    client: &Client,
    json: bool,
    vm: &str,
    incarnation: Option<&str>,
) -> Result<Done, Failure> {
    let body = FenceVmWire {
        incarnation: incarnation.map(str::to_string),
    };
    let change = Change {
        method: Method::POST,
        path: format!("/v1/vms/{}/fence", segment(vm)),
        precondition: None,
        body: Some(json!(body)),
    };
    changed(json, &client.change(change).await?)
}
