//! Measurements of messages between entries, ignored by default. Run with `cargo test
//! -p mangospindle-entry --test entry -- --ignored --nocapture measure`.

use crate::raw_response::send_request;
use crate::test_cluster::start_cluster;

/// Prints the size of a probe response, which `docs/CAPACITY.md` uses.
#[actix_web::test]
#[ignore = "a measurement, not a check"]
async fn probe_bytes() {
    let cluster = start_cluster(0, 2, 3, 30).await;
    let response = send_request(
        cluster.far.internal_address(),
        "GET /internal/v1/probe",
        "",
        b"",
    )
    .await;
    assert_eq!(response.status, 200);
    println!(
        "probe response: head {} bytes, body {} bytes: {}",
        response.head.len() + 4,
        response.body.len(),
        response.text()
    );
}
