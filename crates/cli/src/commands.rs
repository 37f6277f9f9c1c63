//! The commands.

mod actions;
mod audit;
mod drains;
mod lookup;
mod profiles;
mod regions;
mod services;
mod status;
mod vms;
mod workspaces;

use crate::client::Client;
use crate::{Command, Done, Exit, Failure, Options};
use serde::Serialize;
use serde_json::Value;

/// Runs the command in the options.
pub(crate) async fn run(client: &Client, options: &Options) -> Result<Done, Failure> {
    let json = options.json;
    match &options.command {
        Command::ProfileList => profiles::list(client, json).await,
        Command::ProfileShow { name } => profiles::show(client, json, name).await,
        Command::ProfileDiff { file } => profiles::diff(client, json, file).await,
        Command::ProfilePut { file, base } => profiles::put(client, json, file, *base).await,
        Command::ProfileHistory { name } => audit::history(client, json, name).await,
        Command::ProfileDelete { name, base } => profiles::delete(client, json, name, *base).await,
        Command::ServiceList => services::list(client, json).await,
        Command::ServiceAssign {
            service,
            profile,
            base,
        } => services::assign(client, json, service, profile, base.as_deref()).await,
        Command::RegionList => regions::list(client, json).await,
        Command::RegionLimit {
            region,
            limit,
            base,
        } => regions::limit(client, json, region, *limit, *base).await,
        Command::DrainChange { action, endpoint } => {
            drains::change(client, json, *action, endpoint).await
        }
        Command::DrainStatus => drains::status(client, json).await,
        Command::EndpointList => vms::endpoints(client, json).await,
        Command::EntryList => vms::entries(client, json).await,
        Command::Fence { vm, incarnation } => {
            vms::fence(client, json, vm, incarnation.as_deref()).await
        }
        Command::Status => status::show(client, json).await,
        Command::Audit { after, limit } => audit::page(client, json, *after, *limit).await,
        Command::Action { service, key } => actions::show(client, json, service, key).await,
        Command::WorkspacesList => workspaces::list(client, json).await,
        Command::WorkspacesShow { name } => workspaces::show(client, json, name).await,
        Command::Lookup {
            entry,
            service,
            client: address,
        } => lookup::show(client, json, entry, service, *address).await,
    }
}

/// JSON on request, else the text for people.
fn show<V>(json: bool, value: &V, text: impl FnOnce() -> String) -> Result<Done, Failure>
where
    V: Serialize,
{
    let unprintable = |e| Failure::new(Exit::Usage, format!("cannot print the answer: {e}"));
    let text = match json {
        true => serde_json::to_string_pretty(value).map_err(unprintable)? + "\n",
        false => text(),
    };
    Ok(Done {
        text,
        exit: Exit::Done,
    })
}

/// The answer to an accepted change.
fn changed(json: bool, answer: &Value) -> Result<Done, Failure> {
    show(json, answer, || {
        format!("done; configuration version {}\n", answer["version"])
    })
}
