//! Guards against configurations that go back, against entries that keep an old one while a
//! neighbour has a newer one, and against work for endpoints that are leaving.

use crate::fake_endpoint::{Act, ok};
use crate::raw_call::call;
use crate::testbed::testbed;
use std::sync::Arc;
use std::time::{Duration, Instant};

async fn version(address: std::net::SocketAddr) -> u64 {
    let got = call(address, "GET /v1/lookup?service=files", "", b"").await;
    let lookup: serde_json::Value = serde_json::from_slice(&got.body).unwrap();
    assert_eq!(got.header("cache-control"), Some("max-age=5"));
    lookup["config_version"].as_u64().unwrap()
}

#[actix_web::test]
async fn versions_never_go_back_and_reach_cut_off_entries() {
    let bed = testbed(0, 1, 3, 30).await;
    let mut newer = (*bed.config).clone();
    newer.version = 3;
    bed.far.install(&Arc::new(newer), Duration::ZERO);
    let mut older = (*bed.config).clone();
    older.version = 1;
    bed.far.install(&Arc::new(older), Duration::ZERO);
    assert_eq!(version(bed.far.public_address()).await, 3);
    assert_eq!(version(bed.near.public_address()).await, 2);
    // No replica confirms the configuration of the near entry, so that it asks the far one.
    tokio::time::sleep(Duration::from_millis(4500)).await;
    assert_eq!(version(bed.near.public_address()).await, 3);
}

#[actix_web::test]
async fn leaving_endpoints_get_no_new_work() {
    for by in ["health", "operator"] {
        let bed = testbed(0, 2, 3, 30).await;
        for endpoint in &bed.endpoints {
            endpoint.script(|_| [vec![Act::Wait(10)], ok("done")].concat());
        }
        let start = Instant::now();
        if by == "health" {
            *bed.endpoints[0].health.lock().unwrap() = "leaving";
        } else {
            let mut config = (*bed.config).clone();
            config.version = 3;
            config.endpoint_drain[0] = true;
            bed.far.install(&Arc::new(config), Duration::ZERO);
        }
        tokio::time::sleep(Duration::from_millis(1500)).await;
        let before = bed.endpoints[0].requests().len();
        for _ in 0..20 {
            let got = call(bed.address(2), "GET /s/files/x", "", b"").await;
            assert_eq!(got.text(), "done", "{by}");
        }
        assert_eq!(bed.endpoints[0].requests().len(), before, "{by}");
        assert_eq!(bed.endpoints[1].requests().len(), 20, "{by}");
        bed.wait_for_metric("endpoints_drained_total", 1.0).await;
        assert!(start.elapsed() < Duration::from_secs(4));
    }
}
