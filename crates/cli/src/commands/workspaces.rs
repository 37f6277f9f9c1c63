use super::show as print;
use crate::client::{Client, segment};
use crate::table::{Table, or_dash};
use crate::{Done, Failure};
use mangospindle_control::admin::wire::{WorkspacePageWire, WorkspaceUsageWire, WorkspaceWire};

/// Reads all pages, so that the list is complete in deployments of any size.
async fn read_all(client: &Client) -> Result<Vec<WorkspaceWire>, Failure> {
    let mut all: Vec<WorkspaceWire> = Vec::new();
    loop {
        let path = match all.last() {
            None => "/v1/workspaces".to_string(),
            Some(last) => format!("/v1/workspaces?after={}", segment(&last.name)),
        };
        let page: WorkspacePageWire = client.get(&path).await?;
        let is_last = !page.more || page.workspaces.is_empty();
        all.extend(page.workspaces);
        if is_last {
            return Ok(all);
        }
    }
}

pub(super) async fn list(client: &Client, json: bool) -> Result<Done, Failure> {
    let all = read_all(client).await?;
    print(json, &all, || {
        let header = [
            "name",
            "priority",
            "home regions",
            "keys",
            "rate",
            "burst",
            "offered",
            "level",
            "rejected",
        ];
        let mut table = Table::new(&header);
        for item in &all {
            let mut cells = vec![
                item.name.clone(),
                item.priority.to_string(),
                regions(item),
                item.key_digests.len().to_string(),
            ];
            cells.extend(limits(item));
            cells.extend(usage(item.usage.as_ref()));
            table.row(cells);
        }
        table.render()
    })
}

pub(super) async fn show(client: &Client, json: bool, name: &str) -> Result<Done, Failure> {
    let path = format!("/v1/workspaces/{}", segment(name));
    let item: WorkspaceWire = client.get(&path).await?;
    print(json, &item, || {
        let mut table = Table::new(&["field", "value"]);
        let mut row = |field: &str, value: String| table.row(vec![field.to_string(), value]);
        let [rate, burst] = limits(&item);
        let [offered, level, rejected] = usage(item.usage.as_ref());
        row("name", item.name.clone());
        row("priority", item.priority.to_string());
        row("home regions", regions(&item));
        row("rate", rate);
        row("burst", burst);
        row("offered", offered);
        row("level", level);
        row("rejected over allowance", rejected);
        for digest in &item.key_digests {
            row("key digest", digest.clone());
        }
        table.render()
    })
}

fn regions(item: &WorkspaceWire) -> String {
    match item.home_regions.as_slice() {
        [] => "all".to_string(),
        regions => regions.join(","),
    }
}

/// Rate and burst of the allowance.
fn limits(item: &WorkspaceWire) -> [String; 2] {
    match &item.allowance {
        None => ["no limit".to_string(), or_dash::<u64>(None)],
        Some(allowance) => [format!("{}/s", allowance.rate), allowance.burst.to_string()],
    }
}

/// Offered rate, level and rejected requests.
fn usage(usage: Option<&WorkspaceUsageWire>) -> [String; 3] {
    [
        or_dash(usage.map(|u| format!("{:.1}/s", u.offered_rate))),
        or_dash(
            usage
                .and_then(|u| u.level)
                .map(|level| format!("{level:.1}")),
        ),
        or_dash(usage.map(|u| u.rejected_over_allowance)),
    ]
}
