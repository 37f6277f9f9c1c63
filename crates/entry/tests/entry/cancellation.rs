//! Guards against work that continues after the caller has disconnected, and against slots that
//! count as free while an endpoint still processes a request.

use crate::fake_endpoint::{ScriptStep, ok_response};
use crate::raw_response::send_request;
use crate::test_cluster::start_cluster;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

struct Case {
    name: &'static str,
    method: &'static str,
    steps: Vec<ScriptStep>,
}

#[actix_web::test]
async fn caller_disconnect_cancels_the_request() {
    let partial_response = "HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nhalf";
    let cases = [
        Case {
            name: "read before the response",
            method: "GET",
            steps: vec![ScriptStep::Stall],
        },
        Case {
            name: "read within the response",
            method: "GET",
            steps: vec![ScriptStep::Send(partial_response.into()), ScriptStep::Stall],
        },
        Case {
            name: "upload before the response",
            method: "PUT",
            steps: vec![ScriptStep::ReadBody, ScriptStep::Stall],
        },
    ];
    for hops in [1, 2] {
        for case in &cases {
            let cluster = start_cluster(0, 1, 1, 30).await;
            let steps = case.steps.clone();
            cluster.endpoints[0].set_script(move |_| steps.clone());
            let mut stream = TcpStream::connect(cluster.address(hops)).await.unwrap();
            let head = format!("{} /s/files/x HTTP/1.1\r\nhost: t\r\n", case.method);
            let body = if case.method == "PUT" {
                "content-length: 2\r\n\r\nab"
            } else {
                "\r\n"
            };
            stream.write_all((head + body).as_bytes()).await.unwrap();
            cluster.wait_for_metric("slots_in_use", 1.0).await;
            tokio::time::sleep(Duration::from_millis(50)).await;
            drop(stream);
            cluster.wait_for_metric("slots_in_use", 0.0).await;
            tokio::time::sleep(Duration::from_millis(100)).await;
            let received = cluster.endpoints[0].requests();
            assert!(
                received.len() == 1 && received[0].disconnected,
                "{} with {hops} hops: {received:?}",
                case.name
            );
            cluster.endpoints[0].set_script(|_| ok_response("next"));
            let response = send_request(cluster.address(hops), "GET /s/files/x", "", b"").await;
            assert_eq!(response.text(), "next", "{} with {hops} hops", case.name);
            let received = cluster.endpoints[0].requests();
            assert_ne!(
                received[0].connection, received[1].connection,
                "{}",
                case.name
            );
        }
    }
}

/// An endpoint with one slot does not notice that the connection was closed. The slot must not be
/// assigned to another request before the endpoint has finished.
#[actix_web::test]
async fn slots_stay_in_use_until_the_endpoint_finishes() {
    let cluster = start_cluster(0, 1, 1, 30).await;
    cluster.endpoints[0].set_script(|received| match received.header("x-slow") {
        Some(_) => [vec![ScriptStep::WaitMs(900)], ok_response("late")].concat(),
        None => ok_response("next"),
    });
    let slow = "x-slow: 1\r\nx-deadline-ms: 100\r\n";
    let response = send_request(cluster.address(1), "GET /s/files/x", slow, b"").await;
    assert_eq!(response.error(), "deadline-exceeded");
    // The deadline sent to the endpoint has passed, so the slot is free again.
    cluster.wait_for_metric("slots_in_use", 0.0).await;
    let mut stream = TcpStream::connect(cluster.address(1)).await.unwrap();
    let slow = b"GET /s/files/x HTTP/1.1\r\nhost: t\r\nx-slow: 1\r\n\r\n";
    stream.write_all(slow).await.unwrap();
    tokio::time::sleep(Duration::from_millis(100)).await;
    drop(stream);
    tokio::time::sleep(Duration::from_millis(100)).await;
    let response = send_request(
        cluster.address(1),
        "GET /s/files/x",
        "x-deadline-ms: 200\r\n",
        b"",
    )
    .await;
    assert_eq!(
        response.status, 503,
        "the endpoint still processes a request: {response:?}"
    );
    assert_eq!(response.header("x-request-run"), Some("no"));
    cluster.wait_for_metric("slots_in_use", 0.0).await;
    let response = send_request(cluster.address(1), "GET /s/files/x", "", b"").await;
    assert_eq!(response.text(), "next");
}
