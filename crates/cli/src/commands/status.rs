use super::show as print;
use crate::client::Client;
use crate::table::{Table, ms_or_dash, or_dash};
use crate::{Done, Exit, Failure};
use mangospindle_control::admin::wire::{EntryReportWire, StatusWire};
use serde::Serialize;
use std::collections::BTreeMap;

#[derive(Serialize)]
struct ServerStatus {
    server: String,
    status: Option<StatusWire>,
    error: Option<String>,
}

/// Asks every replica, because each one knows its own state and the entries that watch it.
pub(super) async fn show(client: &Client, json: bool) -> Result<Done, Failure> {
    let mut all = Vec::new();
    let mut last_failure = None;
    for server in client.servers() {
        let result = client.get_from(server, "/v1/status").await;
        let error = result.as_ref().err().map(|e: &Failure| e.message.clone());
        last_failure = result.as_ref().err().cloned().or(last_failure);
        all.push(ServerStatus {
            server: server.clone(),
            status: result.ok(),
            error,
        });
    }
    match last_failure {
        Some(failure) if all.iter().all(|s| s.status.is_none()) => return Err(failure),
        None if all.is_empty() => {
            return Err(Failure::new(
                Exit::Usage,
                "no server is named; use --server",
            ));
        }
        _ => {}
    }
    print(json, &all, || {
        format!("{}\n{}", replicas(&all), entries(&all))
    })
}

fn replicas(all: &[ServerStatus]) -> String {
    let header = [
        "server",
        "replica",
        "ready",
        "leader",
        "term",
        "commit",
        "applied",
        "version",
        "confirmed",
    ];
    let mut table = Table::new(&header);
    for item in all {
        let mut cells = vec![item.server.clone()];
        match &item.status {
            None => cells.push(or_dash(item.error.as_ref())),
            Some(s) => cells.extend([
                s.replica.clone(),
                s.ready.to_string(),
                or_dash(s.leader.as_ref()),
                s.term.to_string(),
                s.commit_index.to_string(),
                s.applied_index.to_string(),
                s.version.to_string(),
                match s.confirmation_age_ms {
                    Some(age) => format!("{age} ms ago"),
                    None => "-".to_string(),
                },
            ]),
        }
        table.row(cells);
    }
    table.render()
}

/// The newest report of each entry.
fn entries(all: &[ServerStatus]) -> String {
    let mut newest: BTreeMap<&str, (&EntryReportWire, &str)> = BTreeMap::new();
    for status in all.iter().filter_map(|s| s.status.as_ref()) {
        for report in &status.entries {
            let age = |r: &EntryReportWire| r.last_heard_ms.unwrap_or(u64::MAX);
            let known = newest.get(report.name.as_str());
            if known.is_none_or(|(r, _)| age(report) < age(r)) {
                newest.insert(&report.name, (report, &status.replica));
            }
        }
    }
    let mut table = Table::new(&["entry", "replica", "applied version", "last heard"]);
    for (name, (report, replica)) in newest {
        table.row(vec![
            name.to_string(),
            replica.to_string(),
            or_dash(report.applied_version),
            ms_or_dash(report.last_heard_ms),
        ]);
    }
    table.render()
}
