//! Tests of idle timeouts that peers announce.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use actix_web::http::Method;
use actix_web::http::header::HeaderMap;
use mangospindle_client::{
    BodyFraming, Connection, Exchange, ExpectedId, Lease, Pool, RequestHead, RequestWriter,
};
use mangospindle_model::{Clock, MonotonicClock};
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// Answers one request with this `Keep-Alive` header. Returns whether its connection can be used after
/// `idle`.
async fn is_usable_after(keep_alive: &str, idle: Duration) -> bool {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let pool = Pool::new(Box::new(|_| {}));
    let clock = MonotonicClock::new();
    let mut lease = Lease::unopened(Arc::clone(&pool), 1);
    let opened = Connection::open(address, clock.now(), Duration::from_secs(1)).await;
    lease.set_connection(opened.unwrap());
    let mut peer = listener.accept().await.unwrap().0;
    let text = format!("HTTP/1.1 200 OK\r\nkeep-alive: {keep_alive}\r\ncontent-length: 0\r\n\r\n");
    let served = actix_rt::spawn(async move {
        let mut request = [0; 1024];
        assert!(peer.read(&mut request).await.unwrap() > 0);
        peer.write_all(text.as_bytes()).await.unwrap();
        peer
    });
    let head = RequestHead {
        method: Method::GET,
        path: "/x".to_string(),
        headers: HeaderMap::new(),
    };
    let writer = RequestWriter::new(head, "peer", BodyFraming::None, None).unwrap();
    let mut exchange = Exchange::new(lease, Method::GET, writer, ExpectedId::Absent);
    exchange.send_request(&clock).await.unwrap();
    let _peer = served.await.unwrap();
    let now = clock.now() + idle;
    pool.acquire(1, now, Duration::ZERO).is_some()
}

/// Guards against a number in a peer's header that ends the process because the clock overflows, and
/// against connections that are used although the peer has closed them.
#[actix_rt::test]
async fn announced_idle_timeouts_are_bounded() {
    struct Case {
        keep_alive: &'static str,
        /// Time after which the connection is looked for, in seconds.
        idle_s: u64,
        usable: bool,
    }
    let cases = [
        Case {
            keep_alive: "timeout=5",
            idle_s: 3,
            usable: true,
        },
        Case {
            keep_alive: "timeout=5",
            idle_s: 5,
            usable: false,
        },
        Case {
            keep_alive: "timeout=18446744073709551615",
            idle_s: 60,
            usable: true,
        },
        Case {
            keep_alive: "timeout=18446744073709551614, max=1",
            idle_s: 25 * 3600,
            usable: false,
        },
        Case {
            keep_alive: "timeout=99999999999999999999999",
            idle_s: 60,
            usable: true,
        },
        Case {
            keep_alive: "timeout=-1",
            idle_s: 60,
            usable: true,
        },
        Case {
            keep_alive: "timeout=0",
            idle_s: 0,
            usable: false,
        },
    ];
    for case in cases {
        let usable = is_usable_after(case.keep_alive, Duration::from_secs(case.idle_s)).await;
        let context = format!("{} after {} s", case.keep_alive, case.idle_s);
        assert_eq!(usable, case.usable, "{context}");
    }
}
