//! Moves bytes between the two sockets of a proxied connection.

use crate::proxy::LinkState;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

/// Bytes read at a time.
const CHUNK_BYTES: usize = 64 * 1024;

/// Chunks in flight in one direction. More are not read, so that back-pressure reaches the sender.
const CHUNKS_IN_FLIGHT: usize = 64;

/// Moves bytes both ways until both directions have ended or one has failed.
pub(crate) async fn run(
    client: TcpStream,
    server: TcpStream,
    there: watch::Receiver<LinkState>,
    back: watch::Receiver<LinkState>,
) {
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    // Both directions are dropped when one fails, which resets the connection.
    let _ = tokio::try_join!(
        direction(client_read, server_write, there),
        direction(server_read, client_write, back),
    );
}

async fn direction(
    read: OwnedReadHalf,
    write: OwnedWriteHalf,
    link: watch::Receiver<LinkState>,
) -> std::io::Result<()> {
    let (tx, rx) = mpsc::channel(CHUNKS_IN_FLIGHT);
    tokio::try_join!(receive(read, tx, link.clone()), deliver(write, rx, link))?;
    Ok(())
}

async fn receive(
    mut read: OwnedReadHalf,
    tx: mpsc::Sender<(Instant, Vec<u8>)>,
    link: watch::Receiver<LinkState>,
) -> std::io::Result<()> {
    loop {
        let mut buf = vec![0; CHUNK_BYTES];
        let n = read.read(&mut buf).await?;
        if n == 0 {
            return Ok(());
        }
        buf.truncate(n);
        let (latency, delay) = {
            let state = link.borrow();
            (state.latency, state.fault.delay)
        };
        if tx
            .send((Instant::now() + latency + delay, buf))
            .await
            .is_err()
        {
            return Ok(());
        }
    }
}

async fn deliver(
    mut write: OwnedWriteHalf,
    mut rx: mpsc::Receiver<(Instant, Vec<u8>)>,
    mut link: watch::Receiver<LinkState>,
) -> std::io::Result<()> {
    let generation = link.borrow().generation;
    while let Some((due, buf)) = rx.recv().await {
        // The timer has a resolution of 1 ms; shorter latencies are not worth a sleep.
        if due > Instant::now() + Duration::from_micros(100) {
            tokio::time::sleep_until(due).await;
        }
        if link.wait_for(|state| !state.fault.cut).await.is_err() {
            return Ok(());
        }
        let silent = link.borrow().generation != generation;
        if silent {
            std::future::pending::<()>().await;
        }
        write.write_all(&buf).await?;
    }
    write.shutdown().await
}
