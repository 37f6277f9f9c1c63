//! Guards against bodies that are changed, cut, buffered without bound, or sent twice.

use crate::fake_endpoint::{Act, ok};
use crate::raw_call::{call, read};
use crate::testbed::testbed;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

struct Case {
    name: &'static str,
    headers: &'static str,
    body: Vec<u8>,
    /// Bytes of the body at the endpoint, with the chunk frames.
    want: usize,
}

#[actix_web::test]
async fn bodies_arrive_whole() {
    let case = |name, headers, body: &[u8], want| Case {
        name,
        headers,
        body: body.to_vec(),
        want,
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
        case("expects 100", "expect: 100-continue\r\n", b"12345", 5),
    ];
    for hops in [1, 2] {
        let bed = testbed(0, 1, 3, 30).await;
        for case in &cases {
            let got = call(
                bed.address(hops),
                "PUT /s/files/x",
                case.headers,
                &case.body,
            )
            .await;
            let got = match got.status {
                100 => got.text(),
                _ => format!("{} {}", got.head, got.text()),
            };
            assert!(
                got.contains("200 OK") && got.contains("done"),
                "{}: {got}",
                case.name
            );
            let seen = bed.endpoints[0].requests().pop().unwrap();
            assert_eq!(seen.body_bytes, case.want, "{} over {hops}", case.name);
        }
    }
}

/// A body that ends before its declared length must not look complete to the endpoint.
#[actix_web::test]
async fn short_bodies_are_not_completed() {
    for hops in [1, 2] {
        for head in ["content-length: 100", "transfer-encoding: chunked"] {
            let bed = testbed(0, 1, 3, 30).await;
            let mut stream = TcpStream::connect(bed.address(hops)).await.unwrap();
            let request =
                format!("PUT /s/files/x HTTP/1.1\r\nhost: t\r\n{head}\r\n\r\n5\r\nabcde\r\n");
            stream.write_all(request.as_bytes()).await.unwrap();
            tokio::time::sleep(Duration::from_millis(100)).await;
            stream.shutdown().await.unwrap();
            let got = read(&mut stream, false).await;
            assert_ne!(got.status, 200, "{head} over {hops}");
            bed.wait_for_metric("slots_in_use", 0.0).await;
            // The endpoint notices the closed connection on its own time.
            let requests = || bed.endpoints[0].requests();
            for _ in 0..200 {
                if requests().iter().all(|r| r.gone) {
                    break;
                }
                tokio::time::sleep(Duration::from_millis(25)).await;
            }
            let seen = requests();
            assert!(
                seen.iter().all(|r| r.gone && r.body_bytes == 0),
                "{head}: {seen:?}"
            );
        }
    }
}

/// An early answer must reach the caller although the rest of the body has not been read.
#[actix_web::test]
async fn early_answers_end_uploads() {
    for hops in [1, 2] {
        let bed = testbed(0, 1, 3, 30).await;
        bed.endpoints[0].script(|_| {
            let answer = "HTTP/1.1 413 Too Large\r\ncontent-length: 3\r\n\r\nbig";
            vec![Act::Send(answer.into()), Act::Wait(300), Act::Close]
        });
        let mut stream = TcpStream::connect(bed.address(hops)).await.unwrap();
        let head = "PUT /s/files/x HTTP/1.1\r\nhost: t\r\nconnection: close\r\n\
                    content-length: 1000000\r\n\r\nabc";
        stream.write_all(head.as_bytes()).await.unwrap();
        let got = read(&mut stream, false).await;
        assert_eq!(
            (got.status, got.text()),
            (413, "big".to_string()),
            "over {hops}"
        );
        bed.wait_for_metric("slots_in_use", 0.0).await;
    }
}

/// An endpoint that does not read must stop the caller, not fill the memory of the entries.
#[actix_web::test]
async fn slow_endpoints_slow_the_caller() {
    const MOST_BUFFERED: usize = 32 << 20;
    let bed = testbed(0, 1, 3, 30).await;
    bed.endpoints[0].script(|_| [vec![Act::Wait(1500)], ok("done")].concat());
    let mut stream = TcpStream::connect(bed.address(2)).await.unwrap();
    let total = 256usize << 20;
    let head = format!("PUT /s/files/x HTTP/1.1\r\nhost: t\r\ncontent-length: {total}\r\n\r\n");
    stream.write_all(head.as_bytes()).await.unwrap();
    let piece = vec![0; 64 * 1024];
    let mut sent = 0;
    let send = async {
        while sent < total {
            sent += stream
                .write(&piece[..piece.len().min(total - sent)])
                .await
                .unwrap();
        }
    };
    let stopped = tokio::time::timeout(Duration::from_millis(1000), send).await;
    assert!(
        stopped.is_err() && sent < MOST_BUFFERED,
        "{sent} bytes were taken"
    );
}
