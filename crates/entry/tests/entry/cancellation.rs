//! Guards against work that goes on for callers that have gone, and against slots that are counted
//! as free while an endpoint still works.

use crate::fake_endpoint::{Act, ok};
use crate::raw_call::call;
use crate::testbed::testbed;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

struct Case {
    name: &'static str,
    method: &'static str,
    acts: Vec<Act>,
}

#[actix_web::test]
async fn a_caller_that_goes_away_cancels_the_work() {
    let half = "HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nhalf";
    let cases = [
        Case {
            name: "read before the answer",
            method: "GET",
            acts: vec![Act::Stall],
        },
        Case {
            name: "read within the answer",
            method: "GET",
            acts: vec![Act::Send(half.into()), Act::Stall],
        },
        Case {
            name: "upload before the answer",
            method: "PUT",
            acts: vec![Act::ReadBody, Act::Stall],
        },
    ];
    for hops in [1, 2] {
        for case in &cases {
            let bed = testbed(0, 1, 1, 30).await;
            let acts = case.acts.clone();
            bed.endpoints[0].script(move |_| acts.clone());
            let mut stream = TcpStream::connect(bed.address(hops)).await.unwrap();
            let head = format!("{} /s/files/x HTTP/1.1\r\nhost: t\r\n", case.method);
            let body = if case.method == "PUT" {
                "content-length: 2\r\n\r\nab"
            } else {
                "\r\n"
            };
            stream.write_all((head + body).as_bytes()).await.unwrap();
            bed.wait_for_metric("slots_in_use", 1.0).await;
            tokio::time::sleep(Duration::from_millis(50)).await;
            drop(stream);
            bed.wait_for_metric("slots_in_use", 0.0).await;
            tokio::time::sleep(Duration::from_millis(100)).await;
            let seen = bed.endpoints[0].requests();
            assert!(
                seen.len() == 1 && seen[0].gone,
                "{} over {hops}: {seen:?}",
                case.name
            );
            bed.endpoints[0].script(|_| ok("next"));
            let got = call(bed.address(hops), "GET /s/files/x", "", b"").await;
            assert_eq!(got.text(), "next", "{} over {hops}", case.name);
            let seen = bed.endpoints[0].requests();
            assert_ne!(seen[0].connection, seen[1].connection, "{}", case.name);
        }
    }
}

/// The endpoint has one slot and does not notice that the connection was closed: the slot must not
/// be given to another request before the endpoint is done.
#[actix_web::test]
async fn a_slot_is_kept_until_the_endpoint_lets_go() {
    let bed = testbed(0, 1, 1, 30).await;
    bed.endpoints[0].script(|seen| match seen.header("x-slow") {
        Some(_) => [vec![Act::Wait(900)], ok("late")].concat(),
        None => ok("next"),
    });
    let slow = "x-slow: 1\r\nx-deadline-ms: 100\r\n";
    let got = call(bed.address(1), "GET /s/files/x", slow, b"").await;
    assert_eq!(got.error(), "deadline-exceeded");
    // The deadline that the endpoint was given has passed, so that the slot is free again.
    bed.wait_for_metric("slots_in_use", 0.0).await;
    let mut stream = TcpStream::connect(bed.address(1)).await.unwrap();
    let slow = b"GET /s/files/x HTTP/1.1\r\nhost: t\r\nx-slow: 1\r\n\r\n";
    stream.write_all(slow).await.unwrap();
    tokio::time::sleep(Duration::from_millis(100)).await;
    drop(stream);
    tokio::time::sleep(Duration::from_millis(100)).await;
    let got = call(
        bed.address(1),
        "GET /s/files/x",
        "x-deadline-ms: 200\r\n",
        b"",
    )
    .await;
    assert_eq!(got.status, 503, "the endpoint still works: {got:?}");
    assert_eq!(got.header("x-request-run"), Some("no"));
    bed.wait_for_metric("slots_in_use", 0.0).await;
    let got = call(bed.address(1), "GET /s/files/x", "", b"").await;
    assert_eq!(got.text(), "next");
}
