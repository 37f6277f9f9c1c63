use super::show as print;
use crate::client::{Client, segment};
use crate::table::{Table, or_dash};
use crate::{Done, Failure};
use mangospindle_control::admin::wire::ActionWire;

pub(super) async fn show(
    client: &Client,
    json: bool,
    service: &str,
    key: &str,
) -> Result<Done, Failure> {
    let path = format!("/v1/actions/{}/{}", segment(service), segment(key));
    let action: ActionWire = client.get(&path).await?;
    print(json, &action, || {
        let mut table = Table::new(&["service", "key", "state", "answer status", "answer bytes"]);
        table.row(vec![
            action.service.clone(),
            action.key.clone(),
            action.state.clone(),
            or_dash(action.answer_status),
            or_dash(action.answer_bytes),
        ]);
        table.render()
    })
}
