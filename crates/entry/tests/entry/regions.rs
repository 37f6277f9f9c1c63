//! Guards against traffic between regions that ignores the links' capacity or the limits.

use crate::fake_endpoint::ok;
use crate::raw_call::call;
use crate::testbed::testbed_in;
use mangospindle_model::RegionId;
use std::time::{Duration, Instant};

/// Bytes of a body that take 0.61 s on the link of the testbed, which carries 1 MB/s, less the 2%
/// for control traffic.
const BYTES: usize = 600_000;

#[actix_web::test]
async fn bodies_between_regions_are_paced() {
    let bed = testbed_in(RegionId(1), 0, 1, 3, 30).await;
    let page = "x".repeat(BYTES);
    bed.endpoints[0].script(move |seen| match seen.head.starts_with("GET") {
        true => ok(&page),
        false => ok("done"),
    });
    // An owner admits no requests of other regions until all owners have its configuration.
    let got = call(bed.address(2), "GET /s/files/x", "", b"").await;
    assert_eq!(got.error(), "cross-region-limit");
    for _ in 0..6 {
        tokio::time::sleep(Duration::from_secs(1)).await;
        bed.far.install(&bed.config, Duration::ZERO);
    }
    let body = vec![1; BYTES];
    for (request, body, want) in [
        ("GET /s/files/x", &b""[..], BYTES),
        ("PUT /s/files/x", &body[..], 4),
    ] {
        let start = Instant::now();
        let got = call(bed.address(2), request, "", body).await;
        let time = start.elapsed();
        assert!(
            got.complete && got.body.len() == want,
            "{request}: {}",
            got.head
        );
        assert_eq!(got.header("x-served-region"), Some("other"));
        assert_eq!(got.header("x-home-region"), Some("home"));
        assert!(time > Duration::from_millis(550), "{request} took {time:?}");
        assert!(
            time < Duration::from_millis(1500),
            "{request} took {time:?}"
        );
    }
    assert_eq!(bed.owner_metric("cross_region_served_total").await, 2.0);
    // Without a confirmation for 2 s, the limit may have been lowered elsewhere.
    tokio::time::sleep(Duration::from_millis(2100)).await;
    let got = call(bed.address(2), "GET /s/files/x", "", b"").await;
    assert_eq!(got.error(), "cross-region-limit");
}
