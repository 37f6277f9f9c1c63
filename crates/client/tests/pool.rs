//! Tests of the state of idle connections.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use mangospindle_client::{Connection, ConnectionRequirement, Pool};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};

const NOW: Duration = Duration::from_secs(100);

const fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// What the peer does with an idle connection.
#[derive(Clone, Copy)]
enum Event {
    Close,
    SendByte,
    Nothing,
}

async fn apply(event: Event, mut peer: TcpStream) -> Option<TcpStream> {
    match event {
        Event::Close => None,
        Event::SendByte => {
            peer.write_all(b"x").await.unwrap();
            Some(peer)
        }
        Event::Nothing => Some(peer),
    }
}

/// Adds an idle connection that was last used `idle_for` ago and to which something happens.
async fn add_idle(
    pool: &Arc<Pool<u8>>,
    listener: &TcpListener,
    address: SocketAddr,
    idle_for: Duration,
    event: Event,
) -> Option<TcpStream> {
    let opened = Connection::open(address, NOW - idle_for, seconds(1)).await;
    let peer = apply(event, listener.accept().await.unwrap().0).await;
    pool.insert_idle(1, opened.unwrap());
    // The event reaches the runtime.
    actix_rt::time::sleep(Duration::from_millis(50)).await;
    peer
}

/// Guards against a closed connection that is taken for a sign of a restart although it was idle for
/// long, against one that is not, and against connections that stay open while the peer sends on them.
#[actix_rt::test]
async fn only_connections_that_were_used_lately_are_closed_early() {
    struct Case {
        name: &'static str,
        idle_for: Duration,
        event: Event,
        usable: bool,
        closed_early: bool,
    }
    let cases = [
        Case {
            name: "open",
            idle_for: seconds(1),
            event: Event::Nothing,
            usable: true,
            closed_early: false,
        },
        Case {
            name: "closed after a short time",
            idle_for: seconds(1),
            event: Event::Close,
            usable: false,
            closed_early: true,
        },
        Case {
            name: "closed after a long time",
            idle_for: seconds(10),
            event: Event::Close,
            usable: false,
            closed_early: false,
        },
        Case {
            name: "bytes without a request",
            idle_for: seconds(1),
            event: Event::SendByte,
            usable: false,
            closed_early: false,
        },
    ];
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let pool = Pool::new(Box::new(|_| {}));
    for case in cases {
        let peer = add_idle(&pool, &listener, address, case.idle_for, case.event).await;
        let found = pool.find(1, NOW, ConnectionRequirement::default());
        assert_eq!(found.lease.is_some(), case.usable, "{}", case.name);
        assert_eq!(found.closed_early, case.closed_early, "{}", case.name);
        drop((found, peer));

        let peer = add_idle(&pool, &listener, address, case.idle_for, case.event).await;
        let closed_early = pool.close_unusable(NOW);
        assert_eq!(
            closed_early.contains(&1),
            case.closed_early,
            "{}",
            case.name
        );
        let found = pool.acquire(1, NOW, Duration::ZERO);
        assert_eq!(found.is_some(), case.usable, "{}", case.name);
        drop((found, peer));
    }
}
