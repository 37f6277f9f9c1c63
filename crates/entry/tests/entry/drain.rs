//! Guards against a graceful shutdown that interrupts requests, and against lookups that return a
//! draining entry.

use crate::fake_endpoint::{ScriptStep, ok_response};
use crate::raw_response::send_request;
use crate::test_cluster::start_cluster;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;

#[actix_web::test]
async fn drain_interrupts_no_request() {
    let cluster = start_cluster(0, 1, 3, 30).await;
    cluster.endpoints[0]
        .set_script(|_| [vec![ScriptStep::WaitMs(900)], ok_response("done")].concat());
    let (public, internal) = (
        cluster.near.public_address(),
        cluster.near.internal_address(),
    );
    let start = Instant::now();
    let drain_task = actix_rt::spawn(cluster.near.drain());
    let mut completed = 0;
    loop {
        let response = send_request(public, "PUT /s/files/x", "", b"body").await;
        let lookup = send_request(public, "GET /v1/lookup?service=files", "", b"").await;
        if response.error() == "draining" || start.elapsed() > Duration::from_secs(8) {
            break;
        }
        assert_eq!(
            response.text(),
            "done",
            "after {:?}: {response:?}",
            start.elapsed()
        );
        completed += 1;
        assert!(!lookup.text().contains("near"), "{}", lookup.text());
        assert_eq!(
            send_request(public, "GET /readyz", "", b"").await.status,
            503
        );
        let status = send_request(internal, "GET /v1/status", "", b"")
            .await
            .text();
        assert!(
            status.contains("leaving_lists") || status.contains("finishing"),
            "{status}"
        );
        if drain_task.is_finished() || start.elapsed() > Duration::from_millis(4300) {
            break;
        }
    }
    assert!(
        completed >= 4,
        "{completed} requests completed during the time to live of a lookup"
    );
    // This request is in progress when the entry stops accepting requests.
    let last_request = actix_rt::spawn(async move {
        tokio::time::sleep(Duration::from_millis(4700).saturating_sub(start.elapsed())).await;
        send_request(public, "PUT /s/files/x", "", b"body").await
    });
    assert_eq!(last_request.await.unwrap().text(), "done");
    drain_task.await.unwrap();
    let drain_time = start.elapsed();
    assert!(
        drain_time > Duration::from_secs(5) && drain_time < Duration::from_secs(9),
        "the drain took {drain_time:?}"
    );
    assert!(
        TcpStream::connect(public).await.is_err(),
        "the listener is still open"
    );
}
