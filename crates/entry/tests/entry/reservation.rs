//! Guards against uploads that are sent before an owner has accepted them, and against slots that
//! stay reserved.

use crate::fake_endpoint::{Act, ok};
use crate::raw_call::call;
use crate::testbed::testbed;
use std::time::Duration;

#[actix_web::test]
async fn refused_uploads_reach_no_endpoint() {
    for hops in [1, 2] {
        let bed = testbed(0, 1, 1, 30).await;
        bed.endpoints[0].script(|_| [vec![Act::Wait(600)], ok("done")].concat());
        let address = bed.address(hops);
        let first = actix_rt::spawn(call(address, "GET /s/files/x", "", b""));
        bed.wait_for_metric("slots_in_use", 1.0).await;
        let got = call(address, "PUT /s/files/x", "", &vec![1; 4 << 20]).await;
        assert_eq!(
            (got.status, got.error()),
            (503, "no-capacity"),
            "over {hops}: {got:?}"
        );
        assert_eq!(got.header("x-request-run"), Some("no"), "over {hops}");
        assert_eq!(first.await.unwrap().text(), "done", "over {hops}");
        assert_eq!(bed.endpoints[0].requests().len(), 1, "over {hops}");
        let got = call(address, "PUT /s/files/x", "", b"body").await;
        assert_eq!(got.text(), "done", "over {hops}");
    }
}

#[actix_web::test]
async fn unused_reservations_expire() {
    let bed = testbed(0, 1, 1, 30).await;
    let owner = bed.far.internal_address();
    let headers = "x-home-region: home\r\nx-ingress-entry: near\r\n";
    let got = call(owner, "POST /internal/v1/reserve/files", headers, b"").await;
    let permit = format!("{headers}x-permit: {}\r\n", got.header("x-permit").unwrap());
    bed.wait_for_metric("slots_in_use", 1.0).await;
    let put = "PUT /internal/v1/forward/files/x";
    let got = call(owner, put, &permit, b"body").await;
    assert_eq!(got.text(), "done", "a reservation is used");
    let got = call(owner, "POST /internal/v1/reserve/files", headers, b"").await;
    let permit = format!("{headers}x-permit: {}\r\n", got.header("x-permit").unwrap());
    tokio::time::sleep(Duration::from_millis(1100)).await;
    bed.wait_for_metric("slots_in_use", 0.0).await;
    let got = call(owner, put, &permit, b"body").await;
    assert_eq!(
        got.error(),
        "no-capacity",
        "a reservation is over after its time"
    );
    assert_eq!(bed.endpoints[0].requests().len(), 1);
}

/// Guards against more connections or requests at an endpoint than its limits.
#[actix_web::test]
async fn limits_of_endpoints_hold() {
    let bed = testbed(0, 1, 2, 3).await;
    bed.endpoints[0].script(|_| [vec![Act::Wait(20)], ok("done")].concat());
    let calls = (0..40).map(|i| call(bed.address(1 + i % 2), "GET /s/files/x", "", b""));
    let mut most_open = 0;
    let all = futures::future::join_all(calls);
    let mut all = std::pin::pin!(all);
    let mut most_slots: f64 = 0.0;
    let results = loop {
        match tokio::time::timeout(Duration::from_millis(5), &mut all).await {
            Ok(results) => break results,
            Err(_) => {
                let open = bed.endpoints[0]
                    .open
                    .load(std::sync::atomic::Ordering::SeqCst);
                most_open = most_open.max(open);
                most_slots = most_slots.max(bed.owner_metric("slots_in_use").await);
            }
        }
    };
    assert!(most_open <= 3, "{most_open} connections");
    assert!(most_slots <= 2.0, "{most_slots} slots");
    let done = results.iter().filter(|got| got.text() == "done").count();
    assert!(done >= 8, "{done} of 40 answered");
    assert!(
        results
            .iter()
            .all(|got| got.status == 200 || got.status == 503)
    );
}
