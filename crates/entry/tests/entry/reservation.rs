//! Guards against uploads that are sent before an owner has accepted them, and against reservations
//! that do not expire.

use crate::fake_endpoint::{ScriptStep, ok_response};
use crate::raw_response::send_request;
use crate::test_cluster::start_cluster;
use std::time::Duration;

#[actix_web::test]
async fn refused_uploads_reach_no_endpoint() {
    for hops in [1, 2] {
        let cluster = start_cluster(0, 1, 1, 30).await;
        cluster.endpoints[0]
            .set_script(|_| [vec![ScriptStep::WaitMs(600)], ok_response("done")].concat());
        let address = cluster.address(hops);
        let first = actix_rt::spawn(send_request(address, "GET /s/files/x", "", b""));
        cluster.wait_for_metric("slots_in_use", 1.0).await;
        let response = send_request(address, "PUT /s/files/x", "", &vec![1; 4 << 20]).await;
        assert_eq!(
            (response.status, response.error()),
            (503, "no-capacity"),
            "with {hops} hops: {response:?}"
        );
        assert_eq!(
            response.header("x-request-run"),
            Some("no"),
            "with {hops} hops"
        );
        assert_eq!(first.await.unwrap().text(), "done", "with {hops} hops");
        assert_eq!(cluster.endpoints[0].requests().len(), 1, "with {hops} hops");
        let response = send_request(address, "PUT /s/files/x", "", b"body").await;
        assert_eq!(response.text(), "done", "with {hops} hops");
    }
}

#[actix_web::test]
async fn unused_reservations_expire() {
    let cluster = start_cluster(0, 1, 1, 30).await;
    let owner = cluster.far.internal_address();
    let headers = "x-home-region: home\r\nx-ingress-entry: near\r\n";
    let response = send_request(owner, "POST /internal/v1/reserve/files", headers, b"").await;
    let permit = format!(
        "{headers}x-permit: {}\r\n",
        response.header("x-permit").unwrap()
    );
    cluster.wait_for_metric("slots_in_use", 1.0).await;
    let put = "PUT /internal/v1/forward/files/x";
    let response = send_request(owner, put, &permit, b"body").await;
    assert_eq!(response.text(), "done", "the reservation was not used");
    let response = send_request(owner, "POST /internal/v1/reserve/files", headers, b"").await;
    let permit = format!(
        "{headers}x-permit: {}\r\n",
        response.header("x-permit").unwrap()
    );
    tokio::time::sleep(Duration::from_millis(1100)).await;
    cluster.wait_for_metric("slots_in_use", 0.0).await;
    let response = send_request(owner, put, &permit, b"body").await;
    assert_eq!(
        response.error(),
        "no-capacity",
        "the reservation did not expire"
    );
    assert_eq!(cluster.endpoints[0].requests().len(), 1);
}

/// Guards against more connections or requests at an endpoint than its limits allow.
#[actix_web::test]
async fn endpoint_limits_are_enforced() {
    let cluster = start_cluster(0, 1, 2, 3).await;
    cluster.endpoints[0]
        .set_script(|_| [vec![ScriptStep::WaitMs(20)], ok_response("done")].concat());
    let calls =
        (0..40).map(|i| send_request(cluster.address(1 + i % 2), "GET /s/files/x", "", b""));
    let mut max_open_connections = 0;
    let pending_responses = futures::future::join_all(calls);
    let mut pending_responses = std::pin::pin!(pending_responses);
    let mut max_slots: f64 = 0.0;
    let responses = loop {
        match tokio::time::timeout(Duration::from_millis(5), &mut pending_responses).await {
            Ok(responses) => break responses,
            Err(_) => {
                let open_connections = cluster.endpoints[0]
                    .open_connections
                    .load(std::sync::atomic::Ordering::SeqCst);
                max_open_connections = max_open_connections.max(open_connections);
                max_slots = max_slots.max(cluster.owner_metric("slots_in_use").await);
            }
        }
    };
    assert!(
        max_open_connections <= 3,
        "{max_open_connections} open connections"
    );
    assert!(max_slots <= 2.0, "{max_slots} slots in use");
    let completed = responses
        .iter()
        .filter(|response| response.text() == "done")
        .count();
    assert!(completed >= 8, "{completed} of 40 requests succeeded");
    assert!(
        responses
            .iter()
            .all(|response| response.status == 200 || response.status == 503)
    );
}
