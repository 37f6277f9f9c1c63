use super::show as print;
use crate::client::{Client, segment};
use crate::{Done, Failure};
use serde_json::Value;
use std::net::IpAddr;

/// The answer is printed field by field, so that this command does not depend on the entry's types.
pub(super) async fn show(
    client: &Client,
    json: bool,
    entry: &str,
    service: &str,
    address: IpAddr,
) -> Result<Done, Failure> {
    let service = segment(service);
    let address = segment(&address.to_string());
    let path = format!("/v1/lookup?service={service}&client={address}");
    let answer: Value = client.get_from(entry, &path).await?;
    print(json, &answer, || {
        let mut text = String::new();
        for (field, value) in answer.as_object().into_iter().flatten() {
            match value {
                Value::Array(items) => {
                    text += &format!("{field}:\n");
                    items.iter().for_each(|item| text += &format!("  {item}\n"));
                }
                other => text += &format!("{field}: {other}\n"),
            }
        }
        text
    })
}
