//! Guards against a graceful shutdown that interrupts requests, and against lookups that return a
//! draining entry.

use crate::fake_endpoint::{ScriptStep, ok_response};
use crate::raw_response::send_request;
use crate::test_cluster::{MAX_DEADLINE, start_cluster};
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
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

/// Time for which a draining entry still accepts requests, from the design page.
const LOOKUP_TTL: Duration = Duration::from_secs(5);

/// Time after the longest deadline at which a drain gives up, as `DEADLINE_GRACE` of the entry.
const DEADLINE_GRACE: Duration = Duration::from_secs(5);

/// What an action still waits for when its caller disconnects.
struct DisconnectCase {
    name: &'static str,
    proposal_delay: Duration,
    endpoint_delay_ms: u64,
    /// Number of requests at the endpoint when the caller disconnects.
    executions: usize,
}

/// Guards against a drain that ends while an action whose caller has disconnected still runs.
#[actix_web::test]
async fn drain_waits_for_actions_without_their_caller() {
    let cases = [
        DisconnectCase {
            name: "waits for its claim",
            proposal_delay: Duration::from_millis(2500),
            endpoint_delay_ms: 0,
            executions: 0,
        },
        DisconnectCase {
            name: "waits for its endpoint",
            proposal_delay: Duration::ZERO,
            endpoint_delay_ms: 2500,
            executions: 1,
        },
    ];
    for case in cases {
        let cluster = start_cluster(1, 1, 3, 30).await;
        let (public, far) = (cluster.address(2), cluster.address(1));
        let (endpoint, control) = (&cluster.endpoints[0], &cluster.control);
        let delay = ScriptStep::WaitMs(case.endpoint_delay_ms);
        endpoint.set_script(move |_| [vec![delay.clone()], ok_response("done")].concat());
        let start = Instant::now();
        let drain_task = actix_rt::spawn(cluster.near.drain());
        // Late enough for the action to outlast the time in which requests are accepted.
        tokio::time::sleep(Duration::from_millis(3500)).await;
        *control.delay.lock().unwrap() = case.proposal_delay;
        let mut stream = TcpStream::connect(public).await.unwrap();
        let head = "POST /s/acts/x HTTP/1.1\r\nhost: t\r\nidempotency-key: k\r\n\
                    content-length: 3\r\n\r\npay";
        stream.write_all(head.as_bytes()).await.unwrap();
        let is_waiting = || {
            let claimed = control.log.lock().unwrap().contains(&"claim");
            claimed && endpoint.requests().len() == case.executions
        };
        while !is_waiting() {
            assert!(start.elapsed() < LOOKUP_TTL, "{}: not accepted", case.name);
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        drop(stream);
        drain_task.await.unwrap();
        let drain_time = start.elapsed();
        let log = control.log.lock().unwrap().clone();
        let context = format!("{}: drained in {drain_time:?}, {log:?}", case.name);
        *control.delay.lock().unwrap() = Duration::ZERO;
        let key = "idempotency-key: k\r\n";
        let response = send_request(far, "POST /s/acts/x", key, b"pay").await;
        assert_eq!(
            (response.text().as_str(), response.header("x-replayed")),
            ("done", Some("whole")),
            "{context}: {response:?}"
        );
        assert_eq!(endpoint.requests().len(), 1, "{context}");
        let limit = LOOKUP_TTL + MAX_DEADLINE + DEADLINE_GRACE;
        assert!(drain_time < limit, "{context}: reached its limit");
    }
}
