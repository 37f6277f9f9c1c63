use super::{changed, show as print};
use crate::client::{Change, Client, segment};
use crate::diff::diff as compare;
use crate::table::Table;
use crate::{Done, Exit, Failure, ProfileBase};
use awc::http::Method;
use mangospindle_control::admin::wire::{HedgingWire, ProfileWire, VersionedProfileWire};
use serde_json::{Value, json};
use std::path::Path;

fn path(name: &str) -> String {
    format!("/v1/profiles/{}", segment(name))
}

pub(super) async fn list(client: &Client, json: bool) -> Result<Done, Failure> {
    let all: Vec<VersionedProfileWire> = client.get("/v1/profiles").await?;
    print(json, &all, || {
        let mut table = Table::new(&["name", "version", "cross-region limit", "hedging"]);
        for item in &all {
            let profile = &item.profile;
            table.row(vec![
                profile.name.clone(),
                item.version.to_string(),
                format!("{}/s", profile.cross_region_limit),
                match profile.hedging {
                    HedgingWire::Off => "off".to_string(),
                    HedgingWire::After { delay_ms } => format!("after {delay_ms} ms"),
                },
            ]);
        }
        table.render()
    })
}

pub(super) async fn show(client: &Client, json: bool, name: &str) -> Result<Done, Failure> {
    let item: Value = client.get(&path(name)).await?;
    print(json, &item, || {
        let mut table = Table::new(&["field", "value"]);
        table.row(vec!["version".to_string(), item["version"].to_string()]);
        for (field, value) in item["profile"].as_object().into_iter().flatten() {
            table.row(vec![field.clone(), value.to_string()]);
        }
        table.render()
    })
}

/// Reads a profile, with its version if the file has one.
fn read(file: &Path) -> Result<(ProfileWire, Option<u64>), Failure> {
    let wrong =
        |e: &dyn std::fmt::Display| Failure::new(Exit::Usage, format!("{}: {e}", file.display()));
    let text = std::fs::read_to_string(file).map_err(|e| wrong(&e))?;
    let value: Value = serde_json::from_str(&text).map_err(|e| wrong(&e))?;
    if value.get("profile").is_some() {
        let item = serde_json::from_value::<VersionedProfileWire>(value);
        let item = item.map_err(|e| wrong(&e))?;
        return Ok((item.profile, Some(item.version)));
    }
    let profile = serde_json::from_value(value).map_err(|e| wrong(&e))?;
    Ok((profile, None))
}

pub(super) async fn diff(client: &Client, json: bool, file: &Path) -> Result<Done, Failure> {
    let (profile, version) = read(file)?;
    let present: VersionedProfileWire = client.get(&path(&profile.name)).await?;
    let (old, new) = (json!(present.profile), json!(profile));
    let lines = compare(&old, &new);
    let stale = version.filter(|v| *v != present.version);
    let answer = json!({ "present_version": present.version, "file_version": version,
        "different": !lines.is_empty(), "present": old, "file": new });
    let exit = if lines.is_empty() {
        Exit::Done
    } else {
        Exit::Different
    };
    let done = print(json, &answer, || match stale {
        None => lines.clone(),
        Some(v) => format!(
            "the file was read at version {v}; the present version is {}\n{lines}",
            present.version
        ),
    })?;
    Ok(Done { exit, ..done })
}

pub(super) async fn put(
    client: &Client,
    json: bool,
    file: &Path,
    base: ProfileBase,
) -> Result<Done, Failure> {
    let (profile, version) = read(file)?;
    let precondition = match (base, version) {
        (ProfileBase::Create, _) => ("If-None-Match", "*".to_string()),
        (ProfileBase::Version(version), _) | (ProfileBase::InFile, Some(version)) => {
            ("If-Match", format!("\"{version}\""))
        }
        (ProfileBase::InFile, None) => {
            let message = "the file names no version; use --base-version or --create";
            return Err(Failure::new(Exit::Usage, message));
        }
    };
    let change = Change {
        method: Method::PUT,
        path: path(&profile.name),
        precondition: Some(precondition),
        body: Some(json!(profile)),
    };
    changed(json, &client.change(change).await?)
}

pub(super) async fn delete(
    client: &Client,
    json: bool,
    name: &str,
    base: u64,
) -> Result<Done, Failure> {
    let change = Change {
        method: Method::DELETE,
        path: path(name),
        precondition: Some(("If-Match", format!("\"{base}\""))),
        body: None,
    };
    changed(json, &client.change(change).await?)
}
