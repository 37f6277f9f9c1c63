//! Guards against cross-region traffic that exceeds the capacity of a link or the limits.

use crate::fake_endpoint::ok_response;
use crate::raw_response::send_request;
use crate::test_cluster::start_cluster_in_region;
use mangospindle_model::RegionId;
use std::time::{Duration, Instant};

/// Size of a body that takes 0.61 s on the test link. The link carries 1 MB/s, of which 2% are
/// reserved for control traffic.
const BODY_BYTES: usize = 600_000;

#[actix_web::test]
async fn cross_region_bodies_are_paced() {
    let cluster = start_cluster_in_region(RegionId(1), 0, 1, 3, 30).await;
    let page = "x".repeat(BODY_BYTES);
    cluster.endpoints[0].set_script(move |received| match received.head.starts_with("GET") {
        true => ok_response(&page),
        false => ok_response("done"),
    });
    // An owner admits no requests from other regions until all owners have its configuration.
    let response = send_request(cluster.address(2), "GET /s/files/x", "", b"").await;
    assert_eq!(response.error(), "cross-region-limit");
    for _ in 0..6 {
        tokio::time::sleep(Duration::from_secs(1)).await;
        cluster.far.install(&cluster.config, Duration::ZERO);
    }
    let body = vec![1; BODY_BYTES];
    for (request, body, expected_bytes) in [
        ("GET /s/files/x", &b""[..], BODY_BYTES),
        ("PUT /s/files/x", &body[..], 4),
    ] {
        let start = Instant::now();
        let response = send_request(cluster.address(2), request, "", body).await;
        let duration = start.elapsed();
        assert!(
            response.complete && response.body.len() == expected_bytes,
            "{request}: {}",
            response.head
        );
        assert_eq!(response.header("x-served-region"), Some("other"));
        assert_eq!(response.header("x-home-region"), Some("home"));
        assert!(
            duration > Duration::from_millis(550),
            "{request} took {duration:?}"
        );
        assert!(
            duration < Duration::from_millis(1500),
            "{request} took {duration:?}"
        );
    }
    assert_eq!(cluster.owner_metric("cross_region_served_total").await, 2.0);
    // After 2 s without a confirmation, a newer configuration may already lower the limit.
    tokio::time::sleep(Duration::from_millis(2100)).await;
    let response = send_request(cluster.address(2), "GET /s/files/x", "", b"").await;
    assert_eq!(response.error(), "cross-region-limit");
}
