use crate::admin::DrainReport;
use awc::Client;
use futures::future::join_all;
use mangospindle_http::checked_connector;
use serde::Deserialize;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

/// Timeout of the status request to one owner.
const STATUS_TIMEOUT: Duration = Duration::from_millis(500);

/// The fields of an entry's `/v1/status` response that are used here.
#[derive(Debug, Deserialize)]
struct EntryStatus {
    configuration: Option<EntryConfiguration>,
}

#[derive(Debug, Deserialize)]
struct EntryConfiguration {
    owned_endpoints: Vec<OwnedEndpoint>,
}

#[derive(Debug, Deserialize)]
struct OwnedEndpoint {
    endpoint: String,
    in_progress: Option<u32>,
    drained_in_ms: Option<u64>,
}

/// Queries the owners of draining endpoints for their progress. Called only when an operator
/// requests the status, so that it costs nothing otherwise. The progress of an endpoint stays unknown
/// if its owner does not respond.
pub(crate) async fn query_owners(drains: &mut [DrainReport]) {
    let owners: BTreeSet<SocketAddr> = drains.iter().filter_map(|d| d.owner).collect();
    let requests = owners.into_iter().map(|owner| async move {
        let response = fetch_owned_endpoints(owner).await;
        (owner, response.unwrap_or_default())
    });
    let responses: BTreeMap<_, _> = join_all(requests).await.into_iter().collect();
    for drain in drains {
        let reported = drain.owner.and_then(|owner| responses.get(&owner));
        let endpoint_status = reported.and_then(|o| o.iter().find(|e| e.endpoint == drain.name));
        drain.in_progress = endpoint_status.and_then(|e| e.in_progress);
        drain.drain_time = endpoint_status
            .and_then(|e| e.drained_in_ms)
            .map(Duration::from_millis);
    }
}

async fn fetch_owned_endpoints(owner: SocketAddr) -> Option<Vec<OwnedEndpoint>> {
    let client = Client::builder()
        .connector(checked_connector())
        .timeout(STATUS_TIMEOUT)
        .finish();
    let mut response = client
        .get(format!("http://{owner}/v1/status"))
        .send()
        .await
        .ok()?;
    let status: EntryStatus = response.json().await.ok()?;
    Some(status.configuration?.owned_endpoints)
}
