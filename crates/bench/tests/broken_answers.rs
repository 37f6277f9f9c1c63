//! Tests of what the load generator counts as an answer.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use mangospindle_bench::{LoadPlan, Route, Traffic, TrafficKind, UPLOAD_DEADLINE, run_load};
use mangospindle_model::{Region, Topology};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// An entry that answers lookups with its own address and all other requests with these bytes. It closes the
/// connection after each.
async fn start_entry(answer: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let body = format!(r#"{{"entries":[{{"address":"{address}"}}],"ttl_ms":60000}}"#);
    let length = body.len();
    let lookup = format!(
        "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\nconnection: close\r\ncontent-length: {length}\r\n\r\n{body}"
    );
    actix_rt::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut request = [0; 4096];
            let n = stream.read(&mut request).await.unwrap();
            let bytes = match request[..n].starts_with(b"GET /v1/lookup") {
                true => &lookup,
                false => &answer,
            };
            stream.write_all(bytes.as_bytes()).await.unwrap();
            // Closing with bytes unread would reset the connection.
            stream.shutdown().await.unwrap();
            while matches!(stream.read(&mut request).await, Ok(n) if n > 0) {}
        }
    });
    address
}

/// Actions that were started and that succeeded at an entry with this answer.
async fn actions(answer: &str) -> (u64, u64) {
    let region = Region {
        name: "r".to_string(),
        max_in_progress: 100,
    };
    let plan = LoadPlan {
        topology: Topology {
            regions: vec![region],
            failure_domains: Vec::new(),
            entries: Vec::new(),
            services: Vec::new(),
            endpoints: Vec::new(),
            links: Vec::new(),
            client_ranges: Vec::new(),
        },
        entries: vec![start_entry(answer.to_string()).await],
        traffic: vec![Traffic {
            service: "acts".to_string(),
            kind: TrafficKind::AtMostOnce,
            rate_by_region: vec![200.0],
        }],
        duration: Duration::from_millis(100),
        callers_per_region: 1,
        deadline: Duration::from_secs(5),
        upload_deadline: UPLOAD_DEADLINE,
        max_tried: 1,
        route: Route::Lookup,
        one_way: Vec::new(),
        seed: 7,
    };
    let report = run_load(&plan).await;
    let class = report.classes.values().next().unwrap();
    (class.started, class.succeeded)
}

/// Guards against broken answers that are counted as successes.
#[actix_rt::test]
async fn broken_answers_are_no_successes() {
    let sound = "HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 4\r\n\r\ndone";
    let (started, succeeded) = actions(sound).await;
    assert!(
        started > 0 && succeeded == started,
        "{succeeded} of {started}"
    );
    let broken = [
        "HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 9\r\n\r\ndone",
        "HTTP/1.1 000 Trouble\r\nconnection: close\r\ncontent-length: 4\r\n\r\ndone",
        "HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length : 4\r\n\r\ndone",
        "HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length\t: 4\r\n\r\ndone",
        "HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 4\r\nx-note : a\r\n\r\ndone",
        "HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 4\r\n x-note: a\r\n\r\ndone",
        "HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 4\r\nx-\u{1}note: a\r\n\r\ndone",
    ];
    for answer in broken {
        let (started, succeeded) = actions(answer).await;
        assert!(
            started > 0 && succeeded == 0,
            "{answer:?}: {succeeded} of {started}"
        );
    }
}
