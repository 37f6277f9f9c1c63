//! Tests of responses whose body ends with the connection.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use actix_web::http::Method;
use actix_web::http::header::HeaderMap;
use bytes::Bytes;
use futures::{StreamExt, stream};
use mangospindle_client::{
    BodyFraming, Connection, Exchange, ExchangeError, ExpectedId, Lease, Pool, RequestHead,
    RequestWriter,
};
use mangospindle_model::MonotonicClock;
use socket2::SockRef;
use std::future::poll_fn;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const TIMEOUT: Duration = Duration::from_secs(5);

/// Time between two steps of the peer, in which the client sees the first one.
const STEP: Duration = Duration::from_millis(100);

/// Size of a request body that does not fit into the buffers of the sockets.
const LONG_BODY: usize = 16 << 20;

/// How the peer ends the connection after its response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    /// It ends its direction and reads the rest of the request.
    InOrder,
    /// It ends its direction and resets the connection at once.
    InOrderThenReset,
    /// It resets the connection.
    Reset,
    /// It resets the connection together with the last bytes.
    ResetAtOnce,
}

/// Responds after the head of the request, or after all of it, and ends the connection.
async fn respond(mut peer: TcpStream, request_bytes: usize, reads_request: bool, end: End) {
    let mut received = 0;
    let mut buf = vec![0; 64 * 1024];
    while received == 0 || (reads_request && received < request_bytes) {
        received += peer.read(&mut buf).await.unwrap();
    }
    let response = b"HTTP/1.1 200 OK\r\n\r\npart";
    peer.write_all(response).await.unwrap();
    let reset_on_close = || {
        let socket = SockRef::from(&peer);
        socket.set_linger(Some(Duration::ZERO)).unwrap();
    };
    match end {
        End::ResetAtOnce => reset_on_close(),
        End::Reset => {
            actix_rt::time::sleep(STEP).await;
            reset_on_close();
        }
        End::InOrderThenReset => {
            reset_on_close();
            peer.shutdown().await.unwrap();
        }
        End::InOrder => {
            peer.shutdown().await.unwrap();
            while matches!(peer.read(&mut buf).await, Ok(n) if n > 0) {}
        }
    }
}

/// Guards against a part of a response that is taken for all of it because the error of the connection was
/// reported to a write, after which a read finds the end of the stream.
#[actix_rt::test]
async fn bodies_end_with_connections_that_end_in_order() {
    struct Case {
        name: &'static str,
        body_bytes: usize,
        reads_request: bool,
        end: End,
        expected: Result<&'static str, ExchangeError>,
    }
    let case = |name, body_bytes, reads_request, end, expected| Case {
        name,
        body_bytes,
        reads_request,
        end,
        expected,
    };
    let truncated = Err(ExchangeError::Truncated);
    let cases = [
        case(
            "reset while the request is written",
            LONG_BODY,
            false,
            End::Reset,
            truncated,
        ),
        case(
            "reset after the request",
            LONG_BODY,
            true,
            End::Reset,
            truncated,
        ),
        case(
            "reset without a request body",
            0,
            true,
            End::Reset,
            truncated,
        ),
        case(
            "end while the request is written",
            LONG_BODY,
            false,
            End::InOrder,
            Ok("part"),
        ),
        case(
            "end after the request",
            LONG_BODY,
            true,
            End::InOrder,
            Ok("part"),
        ),
        case(
            "end without a request body",
            0,
            true,
            End::InOrder,
            Ok("part"),
        ),
        case(
            "end, then a reset",
            LONG_BODY,
            false,
            End::InOrderThenReset,
            Ok("part"),
        ),
    ];
    for case in cases {
        let body = exchange(case.body_bytes, case.reads_request, case.end).await;
        assert_eq!(body.as_deref(), case.expected.as_deref(), "{}", case.name);
    }
    for _ in 0..20 {
        // The reset may come before the response has been read, which is then lost.
        let body = exchange(LONG_BODY, false, End::ResetAtOnce).await;
        assert!(body.is_err(), "reset at once: {body:?}");
    }
}

/// Sends a request with a body and returns the body of the response.
async fn exchange(
    body_bytes: usize,
    reads_request: bool,
    end: End,
) -> Result<String, ExchangeError> {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let pool: Arc<Pool<u8>> = Pool::new(Box::new(|_| {}));
    let mut lease = Lease::unopened(pool, 1);
    let opened = Connection::open(address, Duration::ZERO, TIMEOUT).await;
    lease.set_connection(opened.unwrap());
    let (peer, _) = listener.accept().await.unwrap();
    actix_rt::spawn(respond(peer, body_bytes, reads_request, end));
    let head = RequestHead {
        method: Method::PUT,
        path: "/x".to_string(),
        headers: HeaderMap::new(),
    };
    let body = stream::iter([Ok(Bytes::from(vec![b'u'; body_bytes]))]).boxed_local();
    let framing = BodyFraming::Length(body_bytes as u64);
    let writer = RequestWriter::new(head, "peer", framing, Some(body)).unwrap();
    let mut exchange =
        Exchange::new(lease, Method::PUT, writer, ExpectedId::Absent).accept_close_delimited();
    let clock = MonotonicClock::new();
    let read = async {
        exchange.send_request(&clock).await?;
        let mut body = Vec::new();
        while let Some(chunk) = poll_fn(|cx| exchange.poll_chunk(cx)).await {
            body.extend_from_slice(&chunk?);
        }
        Ok(String::from_utf8(body).unwrap())
    };
    tokio::time::timeout(TIMEOUT, read).await.unwrap()
}
