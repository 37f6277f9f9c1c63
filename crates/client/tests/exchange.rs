//! Tests of which response on a connection is taken for the response to a request.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use actix_web::http::Method;
use actix_web::http::header::HeaderMap;
use mangospindle_client::{
    BodyFraming, Connection, ConnectionRequirement, Exchange, ExpectedId, Lease, Pool, RequestHead,
    RequestWriter, ResponseHead,
};
use mangospindle_model::MonotonicClock;
use std::future::poll_fn;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Time limit of an exchange whose response does not arrive.
const TIMEOUT: Duration = Duration::from_millis(300);

/// Connects a lease with a peer.
async fn connect(pool: &Arc<Pool<u8>>) -> (Lease<u8>, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let mut lease = Lease::unopened(Arc::clone(pool), 1);
    let opened = Connection::open(address, Duration::ZERO, TIMEOUT).await;
    lease.set_connection(opened.unwrap());
    (lease, listener.accept().await.unwrap().0)
}

/// Encodes a response, without a request id if `id` is `None`.
fn response(status: u16, id: Option<&str>, body: &str) -> String {
    let id = id.map_or(String::new(), |id| format!("x-request-id: {id}\r\n"));
    let length = body.len();
    format!("HTTP/1.1 {status} Text\r\n{id}content-length: {length}\r\n\r\n{body}")
}

/// Sends a request. Returns the head and the body of the response that is taken for its own.
async fn exchange(lease: Lease<u8>, expected: ExpectedId) -> Option<(ResponseHead, String)> {
    let head = RequestHead {
        method: Method::GET,
        path: "/x".to_string(),
        headers: HeaderMap::new(),
    };
    let writer = RequestWriter::new(head, "peer", BodyFraming::None, None).unwrap();
    let mut exchange = Exchange::new(lease, Method::GET, writer, expected);
    let clock = MonotonicClock::new();
    let sent = exchange.send_request(&clock);
    let head = tokio::time::timeout(TIMEOUT, sent).await.ok()?.unwrap();
    let mut body = Vec::new();
    while let Some(chunk) = poll_fn(|cx| exchange.poll_chunk(cx)).await {
        body.extend_from_slice(&chunk.unwrap());
    }
    Some((head, String::from_utf8(body).unwrap()))
}

/// Guards against a response to another request, or to a health check, that is taken for the response to
/// a request.
#[actix_rt::test]
async fn only_the_own_response_is_taken() {
    struct Case {
        name: &'static str,
        expected: ExpectedId,
        responses: Vec<String>,
        taken: Option<&'static str>,
    }
    let optional = || ExpectedId::Optional("own".to_string());
    let in_success = || ExpectedId::in_success("own");
    let own = || response(200, Some("own"), "own");
    let cases = [
        Case {
            name: "a second response to an earlier request",
            expected: in_success(),
            responses: vec![response(200, Some("other"), "other"), own()],
            taken: Some("own"),
        },
        Case {
            name: "a second rejection of an earlier request",
            expected: in_success(),
            responses: vec![response(503, Some("other"), ""), own()],
            taken: Some("own"),
        },
        Case {
            name: "a second response to a health check",
            expected: in_success(),
            responses: vec![response(200, None, "health"), own()],
            taken: Some("own"),
        },
        Case {
            name: "a rejection without an id",
            expected: in_success(),
            responses: vec![response(503, None, "rejected")],
            taken: Some("rejected"),
        },
        Case {
            name: "a peer that repeats no ids",
            expected: optional(),
            responses: vec![response(200, None, "taken")],
            taken: Some("taken"),
        },
        Case {
            name: "a second response, from a peer that may leave out ids",
            expected: optional(),
            responses: vec![response(200, Some("other"), "other"), own()],
            taken: Some("own"),
        },
        Case {
            name: "a health check after a second response to a request",
            expected: ExpectedId::Absent,
            responses: vec![response(200, Some("other"), "x"), response(200, None, "ok")],
            taken: Some("ok"),
        },
        Case {
            name: "a health check without a response",
            expected: ExpectedId::Absent,
            responses: vec![response(200, Some("other"), "other")],
            taken: None,
        },
        Case {
            name: "an empty id, which stands for none",
            expected: ExpectedId::in_success(""),
            responses: vec![response(200, Some(""), "taken")],
            taken: Some("taken"),
        },
    ];
    for case in cases {
        let pool = Pool::new(Box::new(|_| {}));
        let (lease, mut peer) = connect(&pool).await;
        let served = actix_rt::spawn(async move {
            let mut request = [0; 1024];
            assert!(peer.read(&mut request).await.unwrap() > 0);
            for response in case.responses {
                peer.write_all(response.as_bytes()).await.unwrap();
            }
            peer
        });
        let taken = exchange(lease, case.expected).await;
        assert_eq!(taken.map(|t| t.1).as_deref(), case.taken, "{}", case.name);
        drop(served.await.unwrap());
    }
}

/// Guards against a request that may run once only and is sent on a connection on which a second copy of
/// a response without an id could arrive.
#[actix_rt::test]
async fn connections_are_identified_by_their_last_response() {
    struct Case {
        name: &'static str,
        responses: &'static [Option<&'static str>],
        identified: bool,
    }
    let cases = [
        Case {
            name: "with an id",
            responses: &[Some("own")],
            identified: true,
        },
        Case {
            name: "without an id",
            responses: &[Some("own"), None],
            identified: false,
        },
        Case {
            name: "with an id after one without",
            responses: &[None, Some("own")],
            identified: true,
        },
    ];
    let requirement = |identified| ConnectionRequirement {
        identified,
        ..ConnectionRequirement::default()
    };
    for case in cases {
        let pool = Pool::new(Box::new(|_| {}));
        let (mut lease, mut peer) = connect(&pool).await;
        for id in case.responses {
            let served = actix_rt::spawn(async move {
                let mut request = [0; 1024];
                assert!(peer.read(&mut request).await.unwrap() > 0);
                let text = response(503, *id, "");
                peer.write_all(text.as_bytes()).await.unwrap();
                peer
            });
            exchange(lease, ExpectedId::in_success("own"))
                .await
                .unwrap();
            peer = served.await.unwrap();
            let found = pool.find(1, Duration::ZERO, requirement(false));
            lease = found.lease.unwrap();
        }
        lease.release();
        let found = pool.find(1, Duration::ZERO, requirement(true));
        assert_eq!(found.lease.is_some(), case.identified, "{}", case.name);
    }
}
