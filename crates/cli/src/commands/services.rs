use super::{changed, show};
use crate::client::{Change, Client, segment};
use crate::table::Table;
use crate::{Done, Exit, Failure};
use awc::http::Method;
use mangospindle_control::admin::wire::{AssignProfileWire, ServiceWire};
use serde_json::json;

pub(super) async fn list(client: &Client, json: bool) -> Result<Done, Failure> {
    let all: Vec<ServiceWire> = client.get("/v1/services").await?;
    show(json, &all, || {
        let mut table = Table::new(&["name", "profile", "write class", "max deadline"]);
        for item in &all {
            table.row(vec![
                item.name.clone(),
                item.profile.clone(),
                item.write_class.as_str().to_string(),
                format!("{} ms", item.max_deadline_ms),
            ]);
        }
        table.render()
    })
}

pub(super) async fn assign(
    client: &Client,
    json: bool,
    service: &str,
    profile: &str,
    base: Option<&str>,
) -> Result<Done, Failure> {
    let base = match base {
        Some(base) => base.to_string(),
        None => {
            let all: Vec<ServiceWire> = client.get("/v1/services").await?;
            let found = all.into_iter().find(|s| s.name == service);
            let missing = || Failure::new(Exit::NotFound, format!("no service `{service}`"));
            found.ok_or_else(missing)?.profile
        }
    };
    let body = AssignProfileWire {
        profile: profile.to_string(),
    };
    let change = Change {
        method: Method::PUT,
        path: format!("/v1/services/{}/profile", segment(service)),
        precondition: Some(("If-Match", format!("\"{base}\""))),
        body: Some(json!(body)),
    };
    changed(json, &client.change(change).await?)
}
