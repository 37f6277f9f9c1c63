use crate::admin::DrainReport;
use awc::Client;
use futures::future::join_all;
use serde::Deserialize;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

/// Time for the answer of one owner.
const TIMEOUT: Duration = Duration::from_millis(500);

/// The part of an entry's `/v1/status` that is needed here.
#[derive(Debug, Deserialize)]
struct EntryStatus {
    configuration: Option<Configuration>,
}

#[derive(Debug, Deserialize)]
struct Configuration {
    owned_endpoints: Vec<OwnedEndpoint>,
}

#[derive(Debug, Deserialize)]
struct OwnedEndpoint {
    endpoint: String,
    in_progress: Option<u32>,
    drained_in_ms: Option<u64>,
}

/// Asks the owners of drained endpoints for their progress. Only done when an operator asks, so that
/// it costs nothing otherwise; an owner that does not answer leaves its endpoints unknown.
pub(crate) async fn fill(drains: &mut [DrainReport]) {
    let owners: BTreeSet<SocketAddr> = drains.iter().filter_map(|d| d.owner).collect();
    let asked = owners.into_iter().map(|owner| async move {
        let answer = ask(owner).await;
        (owner, answer.unwrap_or_default())
    });
    let answers: BTreeMap<_, _> = join_all(asked).await.into_iter().collect();
    for drain in drains {
        let owned = drain.owner.and_then(|owner| answers.get(&owner));
        let found = owned.and_then(|o| o.iter().find(|e| e.endpoint == drain.name));
        drain.in_progress = found.and_then(|e| e.in_progress);
        drain.drain_time = found
            .and_then(|e| e.drained_in_ms)
            .map(Duration::from_millis);
    }
}

async fn ask(owner: SocketAddr) -> Option<Vec<OwnedEndpoint>> {
    let client = Client::builder().timeout(TIMEOUT).finish();
    let mut answer = client
        .get(format!("http://{owner}/v1/status"))
        .send()
        .await
        .ok()?;
    let status: EntryStatus = answer.json().await.ok()?;
    Some(status.configuration?.owned_endpoints)
}
