//! Guards against request bodies that are altered, truncated, buffered without limit or sent twice.

use crate::fake_endpoint::{ScriptStep, ok_response};
use crate::raw_response::{read_response, send_request};
use crate::test_cluster::start_cluster;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

struct Case {
    name: &'static str,
    headers: &'static str,
    body: Vec<u8>,
    /// Size of the body at the endpoint, including the chunk framing.
    expected_bytes: usize,
}

#[actix_web::test]
async fn request_bodies_arrive_complete() {
    let case = |name, headers, body: &[u8], expected_bytes| Case {
        name,
        headers,
        body: body.to_vec(),
        expected_bytes,
    };
    let cases = [
        case("none", "", b"", 0),
        case("short", "", b"12345", 5),
        case("large", "", &vec![7; 20 << 20], 20 << 20),
        case(
            "chunked",
            "transfer-encoding: chunked\r\n",
            b"5\r\nabcde\r\n0\r\n\r\n",
            15,
        ),
        case(
            "expects 100-continue",
            "expect: 100-continue\r\n",
            b"12345",
            5,
        ),
    ];
    for hops in [1, 2] {
        let cluster = start_cluster(0, 1, 3, 30).await;
        for case in &cases {
            let response = send_request(
                cluster.address(hops),
                "PUT /s/files/x",
                case.headers,
                &case.body,
            )
            .await;
            let response = match response.status {
                100 => response.text(),
                _ => format!("{} {}", response.head, response.text()),
            };
            assert!(
                response.contains("200 OK") && response.contains("done"),
                "{}: {response}",
                case.name
            );
            let received = cluster.endpoints[0].requests().pop().unwrap();
            assert_eq!(
                received.body_bytes, case.expected_bytes,
                "{} with {hops} hops",
                case.name
            );
        }
    }
}

/// A body that ends before its declared length must not look complete to the endpoint.
#[actix_web::test]
async fn truncated_bodies_are_not_completed() {
    for hops in [1, 2] {
        for head in ["content-length: 100", "transfer-encoding: chunked"] {
            let cluster = start_cluster(0, 1, 3, 30).await;
            let mut stream = TcpStream::connect(cluster.address(hops)).await.unwrap();
            let request =
                format!("PUT /s/files/x HTTP/1.1\r\nhost: t\r\n{head}\r\n\r\n5\r\nabcde\r\n");
            stream.write_all(request.as_bytes()).await.unwrap();
            tokio::time::sleep(Duration::from_millis(100)).await;
            stream.shutdown().await.unwrap();
            let response = read_response(&mut stream, false).await;
            assert_ne!(response.status, 200, "{head} with {hops} hops");
            cluster.wait_for_metric("slots_in_use", 0.0).await;
            // The endpoint notices the closed connection with a delay.
            let requests = || cluster.endpoints[0].requests();
            for _ in 0..200 {
                if requests().iter().all(|r| r.disconnected) {
                    break;
                }
                tokio::time::sleep(Duration::from_millis(25)).await;
            }
            let received = requests();
            assert!(
                received.iter().all(|r| r.disconnected && r.body_bytes == 0),
                "{head}: {received:?}"
            );
        }
    }
}

/// An early response must reach the caller even if the rest of the body has not been read.
#[actix_web::test]
async fn early_responses_end_uploads() {
    for hops in [1, 2] {
        let cluster = start_cluster(0, 1, 3, 30).await;
        cluster.endpoints[0].set_script(|_| {
            let early_response = "HTTP/1.1 413 Too Large\r\ncontent-length: 3\r\n\r\nbig";
            vec![
                ScriptStep::Send(early_response.into()),
                ScriptStep::WaitMs(300),
                ScriptStep::Close,
            ]
        });
        let mut stream = TcpStream::connect(cluster.address(hops)).await.unwrap();
        let head = "PUT /s/files/x HTTP/1.1\r\nhost: t\r\nconnection: close\r\n\
                    content-length: 1000000\r\n\r\nabc";
        stream.write_all(head.as_bytes()).await.unwrap();
        let response = read_response(&mut stream, false).await;
        assert_eq!(
            (response.status, response.text()),
            (413, "big".to_string()),
            "with {hops} hops"
        );
        cluster.wait_for_metric("slots_in_use", 0.0).await;
    }
}

/// A part of an early response must not look complete to the caller because the connection was reset while the
/// upload was still being written.
#[actix_web::test]
async fn resets_in_uploads_do_not_complete_responses() {
    struct Case {
        name: &'static str,
        response: &'static str,
        /// Status of the response, and whether it is complete.
        expected: (u16, bool),
    }
    let cases = [
        Case {
            name: "without a length",
            response: "HTTP/1.1 200 OK\r\n\r\npart",
            expected: (502, true),
        },
        Case {
            name: "with a length",
            response: "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\npart",
            expected: (200, false),
        },
        Case {
            name: "in chunks",
            response: "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\npart\r\n",
            expected: (200, false),
        },
    ];
    for hops in [1, 2] {
        let cluster = start_cluster(0, 1, 3, 30).await;
        for case in &cases {
            cluster.endpoints[0].set_script(|_| {
                vec![
                    ScriptStep::Send(case.response.into()),
                    ScriptStep::WaitMs(300),
                    ScriptStep::Reset,
                ]
            });
            let stream = TcpStream::connect(cluster.address(hops)).await.unwrap();
            let (mut read, mut write) = stream.into_split();
            let upload = actix_web::rt::spawn(async move {
                let head = "PUT /s/files/x HTTP/1.1\r\nhost: t\r\nconnection: close\r\n\
                            content-length: 67108864\r\n\r\n";
                write.write_all(head.as_bytes()).await.unwrap();
                let chunk = vec![0; 64 * 1024];
                // Ends when the entry closes the connection.
                while write.write_all(&chunk).await.is_ok() {}
                write
            });
            let response = read_response(&mut read, false).await;
            drop(read);
            assert_eq!(
                (response.status, response.complete),
                case.expected,
                "{} with {hops} hops: {response:?}",
                case.name
            );
            upload.abort();
            cluster.wait_for_metric("slots_in_use", 0.0).await;
        }
    }
}

/// An endpoint that does not read must block the caller. The entries must not buffer the body
/// without limit.
#[actix_web::test]
async fn slow_endpoints_apply_backpressure() {
    const MAX_BUFFERED_BYTES: usize = 32 << 20;
    let cluster = start_cluster(0, 1, 3, 30).await;
    cluster.endpoints[0]
        .set_script(|_| [vec![ScriptStep::WaitMs(1500)], ok_response("done")].concat());
    let mut stream = TcpStream::connect(cluster.address(2)).await.unwrap();
    let total = 256usize << 20;
    let head = format!("PUT /s/files/x HTTP/1.1\r\nhost: t\r\ncontent-length: {total}\r\n\r\n");
    stream.write_all(head.as_bytes()).await.unwrap();
    let chunk = vec![0; 64 * 1024];
    let mut sent = 0;
    let send = async {
        while sent < total {
            sent += stream
                .write(&chunk[..chunk.len().min(total - sent)])
                .await
                .unwrap();
        }
    };
    let send_result = tokio::time::timeout(Duration::from_millis(1000), send).await;
    assert!(
        send_result.is_err() && sent < MAX_BUFFERED_BYTES,
        "the entry accepted {sent} bytes"
    );
}
