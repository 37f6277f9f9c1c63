//! Guards against configurations that revert to a lower version, against isolated entries that keep
//! an old configuration while a peer has a newer one, and against new requests to endpoints that
//! are leaving.

use crate::fake_endpoint::{ScriptStep, ok_response};
use crate::raw_response::send_request;
use crate::test_cluster::start_cluster;
use std::sync::Arc;
use std::time::{Duration, Instant};

async fn config_version(address: std::net::SocketAddr) -> u64 {
    let response = send_request(address, "GET /v1/lookup?service=files", "", b"").await;
    let lookup: serde_json::Value = serde_json::from_slice(&response.body).unwrap();
    assert_eq!(response.header("cache-control"), Some("max-age=5"));
    lookup["config_version"].as_u64().unwrap()
}

#[actix_web::test]
async fn config_versions_never_decrease_and_reach_isolated_entries() {
    let cluster = start_cluster(0, 1, 3, 30).await;
    let mut newer = (*cluster.config).clone();
    newer.version = 3;
    cluster.far.install(&Arc::new(newer), Duration::ZERO);
    let mut older = (*cluster.config).clone();
    older.version = 1;
    cluster.far.install(&Arc::new(older), Duration::ZERO);
    assert_eq!(config_version(cluster.far.public_address()).await, 3);
    assert_eq!(config_version(cluster.near.public_address()).await, 2);
    // No control replica confirms the configuration of the near entry, so it requests a newer one
    // from the far entry.
    tokio::time::sleep(Duration::from_millis(4500)).await;
    assert_eq!(config_version(cluster.near.public_address()).await, 3);
}

#[actix_web::test]
async fn leaving_endpoints_get_no_new_requests() {
    for source in ["health", "operator"] {
        let cluster = start_cluster(0, 2, 3, 30).await;
        for endpoint in &cluster.endpoints {
            endpoint.set_script(|_| [vec![ScriptStep::WaitMs(10)], ok_response("done")].concat());
        }
        let start = Instant::now();
        if source == "health" {
            *cluster.endpoints[0].health.lock().unwrap() = "leaving";
        } else {
            let mut config = (*cluster.config).clone();
            config.version = 3;
            config.endpoint_drain[0] = true;
            cluster.far.install(&Arc::new(config), Duration::ZERO);
        }
        tokio::time::sleep(Duration::from_millis(1500)).await;
        let requests_before = cluster.endpoints[0].requests().len();
        for _ in 0..20 {
            let response = send_request(cluster.address(2), "GET /s/files/x", "", b"").await;
            assert_eq!(response.text(), "done", "{source}");
        }
        assert_eq!(
            cluster.endpoints[0].requests().len(),
            requests_before,
            "{source}"
        );
        assert_eq!(cluster.endpoints[1].requests().len(), 20, "{source}");
        cluster
            .wait_for_metric("endpoints_drained_total", 1.0)
            .await;
        assert!(start.elapsed() < Duration::from_secs(4));
    }
}
