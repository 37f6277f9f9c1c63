use super::show;
use crate::client::{Client, segment};
use crate::diff::diff;
use crate::table::Table;
use crate::time_text::time_text;
use crate::{Done, Failure};
use mangospindle_control::admin::wire::AuditPageWire;

pub(super) async fn page(
    client: &Client,
    json: bool,
    after: u64,
    limit: usize,
) -> Result<Done, Failure> {
    let path = format!("/v1/audit?after={after}&limit={limit}");
    let page: AuditPageWire = client.get(&path).await?;
    show(json, &page, || {
        let header = [
            "sequence", "time", "actor", "action", "subject", "version", "request",
        ];
        let mut table = Table::new(&header);
        for r in &page.records {
            table.row(vec![
                r.sequence.to_string(),
                time_text(r.time_ms),
                format!("{} {}", r.actor_kind, r.actor),
                r.action.clone(),
                r.subject.clone(),
                r.version.to_string(),
                r.request.clone(),
            ]);
        }
        let mut text = table.render();
        if after + 1 < page.first_available {
            let first = page.first_available;
            text += &format!("records before {first} are in the files of the control replicas\n");
        }
        match page.records.last() {
            Some(newest) if newest.sequence < page.last => {
                text += &format!("more: mangospindlectl audit --after {}\n", newest.sequence);
            }
            _ => {}
        }
        text
    })
}

pub(super) async fn history(client: &Client, json: bool, name: &str) -> Result<Done, Failure> {
    let path = format!("/v1/profiles/{}/history", segment(name));
    let page: AuditPageWire = client.get(&path).await?;
    show(json, &page, || {
        let mut text = String::new();
        for r in &page.records {
            let time = time_text(r.time_ms);
            text += &format!("{time}  {}  {} {}\n", r.action, r.actor_kind, r.actor);
            for line in diff(&r.before, &r.after).lines() {
                text += &format!("    {line}\n");
            }
        }
        text
    })
}
