//! Tests of connections that an exchange keeps for a further request.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use actix_web::http::Method;
use actix_web::http::header::HeaderMap;
use mangospindle_client::{
    BodyFraming, Connection, Exchange, ExpectedId, Lease, Pool, RequestHead, RequestWriter,
};
use mangospindle_model::{Clock, MonotonicClock};
use std::future::poll_fn;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Time limit of an exchange.
const TIMEOUT: Duration = Duration::from_secs(5);

/// A complete response.
const COMPLETE: &str = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

/// Connects a lease with a peer.
async fn connect(pool: &Arc<Pool<u8>>) -> (Lease<u8>, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let mut lease = Lease::unopened(Arc::clone(pool), 1);
    let opened = Connection::open(address, Duration::ZERO, TIMEOUT).await;
    lease.set_connection(opened.unwrap());
    (lease, listener.accept().await.unwrap().0)
}

/// Creates an exchange on a connection.
fn exchange(lease: Lease<u8>) -> Exchange<u8> {
    let head = RequestHead {
        method: Method::GET,
        path: "/x".to_string(),
        headers: HeaderMap::new(),
    };
    let writer = RequestWriter::new(head, "peer", BodyFraming::None, None).unwrap();
    Exchange::new(lease, Method::GET, writer, ExpectedId::Absent)
}

/// Reads a request and writes a response. Returns the connection unless it is closed after the response.
async fn respond(mut peer: TcpStream, response: &str, close: bool) -> Option<TcpStream> {
    let mut request = [0; 1024];
    assert!(peer.read(&mut request).await.unwrap() > 0);
    peer.write_all(response.as_bytes()).await.unwrap();
    (!close).then_some(peer)
}

/// Runs an exchange to its end and returns the connection that it keeps.
async fn run(mut exchange: Exchange<u8>) -> Option<Lease<u8>> {
    let clock = MonotonicClock::new();
    let sent = exchange.send_request(&clock);
    tokio::time::timeout(TIMEOUT, sent).await.unwrap().unwrap();
    let read_rest =
        async { while let Some(Ok(_)) = poll_fn(|cx| exchange.poll_chunk(cx)).await {} };
    tokio::time::timeout(TIMEOUT, read_rest).await.unwrap();
    exchange.abandon()
}

/// Guards against a request on a connection on which the rest of another response may arrive or which the peer
/// closes, and against a further connection when the checked one could be used.
#[actix_rt::test]
async fn connections_are_kept_only_if_they_can_carry_a_request() {
    struct Case {
        name: &'static str,
        response: &'static str,
        /// Whether the peer closes the connection after the response.
        close: bool,
        kept: bool,
    }
    let case = |name, response, kept| Case {
        name,
        response,
        close: false,
        kept,
    };
    let cases = [
        case("a complete body", COMPLETE, true),
        case(
            "an empty body",
            "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n",
            true,
        ),
        case("no content", "HTTP/1.1 204 No Content\r\n\r\n", true),
        case(
            "a chunked body",
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
            true,
        ),
        case(
            "a rejection",
            "HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n",
            true,
        ),
        case(
            "announces that it closes",
            "HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 2\r\n\r\nok",
            false,
        ),
        case(
            "announces that it closes after an empty body",
            "HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 0\r\n\r\n",
            false,
        ),
        case(
            "surplus bytes after the body",
            "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nokay",
            false,
        ),
        case(
            "surplus bytes after an empty body",
            "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\nHTTP/1.1 200 OK\r\n",
            false,
        ),
        case(
            "an earlier version of HTTP",
            "HTTP/1.0 200 OK\r\ncontent-length: 2\r\n\r\nok",
            false,
        ),
        Case {
            name: "a truncated body",
            response: "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nok",
            close: true,
            kept: false,
        },
    ];
    for case in cases {
        let pool = Pool::new(Box::new(|_| {}));
        let (lease, peer) = connect(&pool).await;
        let served = actix_rt::spawn(respond(peer, case.response, case.close));
        let kept = run(exchange(lease).keep_connection()).await;
        assert_eq!(kept.is_some(), case.kept, "{}", case.name);
        assert!(
            pool.acquire(1, Duration::ZERO, Duration::ZERO).is_none(),
            "{}: the connection is in the pool",
            case.name
        );
        let peer = served.await.unwrap();
        if let (Some(lease), Some(peer)) = (kept, peer) {
            let served = actix_rt::spawn(respond(peer, COMPLETE, false));
            assert!(run(exchange(lease)).await.is_none(), "{}", case.name);
            let _peer = served.await.unwrap();
            let idle = pool.acquire(1, Duration::ZERO, Duration::ZERO);
            assert!(idle.is_some(), "{}: returned to the pool", case.name);
        }
    }
}

/// Guards against a cold process that counts as warm, because the age of its connection is overstated when the
/// peer accepts it late.
#[actix_rt::test]
async fn connections_are_not_older_than_their_peer() {
    struct Case {
        name: &'static str,
        now: Duration,
        timeout: Duration,
    }
    let cases = [
        Case {
            name: "short timeout",
            now: Duration::from_secs(7),
            timeout: Duration::from_millis(300),
        },
        Case {
            name: "long timeout",
            now: Duration::ZERO,
            timeout: Duration::from_secs(5),
        },
    ];
    for case in cases {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let clock = MonotonicClock::new();
        let start = clock.now();
        let connection = Connection::open(address, case.now, case.timeout).await;
        let took = clock.now() - start;
        let connection = connection.unwrap();
        assert!(connection.opened_at >= case.now + took, "{}", case.name);
        assert_eq!(
            connection.opened_at,
            case.now + case.timeout,
            "{}",
            case.name
        );
        assert!(!connection.peer_is_warm, "{}", case.name);
    }
}
