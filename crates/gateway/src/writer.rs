//! Writing answers to a caller.
//!
//! The head is written here and not by the library's codec, which takes the state of the connection
//! from the request that it decoded last; with several requests in progress that is another one.

use crate::reply::{Reply, ReplyBody, Streamed};
use bytes::{BufMut, Bytes, BytesMut};
use mangospindle_dispatch::Outcome;
use std::future::poll_fn;
use std::io;
use std::time::Duration;
use tokio::io::{AsyncWrite, AsyncWriteExt};

/// Longest wait for a caller that does not read its answer.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);

/// Writes an answer. Returns whether the connection can be used for another one.
pub(crate) async fn write_reply<W>(stream: &mut W, reply: Reply, now: Duration) -> io::Result<bool>
where
    W: AsyncWrite + Unpin,
{
    let closes = reply.closes;
    let mut out = BytesMut::with_capacity(512);
    write_head(&mut out, &reply);
    match reply.body {
        ReplyBody::None(_) => write_all(stream, &out).await?,
        ReplyBody::Whole(body) => {
            out.extend_from_slice(&body);
            write_all(stream, &out).await?;
        }
        ReplyBody::Streamed(streamed) => {
            write_all(stream, &out).await?;
            write_stream(stream, *streamed, now).await?;
        }
    }
    Ok(!closes)
}

fn write_head(out: &mut BytesMut, reply: &Reply) {
    let reason = reply.status.canonical_reason().unwrap_or("Unknown");
    out.put_slice(format!("HTTP/1.1 {} {reason}\r\n", reply.status.as_u16()).as_bytes());
    for (name, value) in &reply.headers {
        out.put_slice(name.as_str().as_bytes());
        out.put_slice(b": ");
        out.put_slice(value.as_bytes());
        out.put_slice(b"\r\n");
    }
    let length = match &reply.body {
        ReplyBody::None(length) => *length,
        ReplyBody::Whole(body) => Some(body.len() as u64),
        ReplyBody::Streamed(streamed) => streamed.length,
    };
    match (length, &reply.body) {
        (Some(length), _) => out.put_slice(format!("content-length: {length}\r\n").as_bytes()),
        (None, ReplyBody::Streamed(_)) => out.put_slice(b"transfer-encoding: chunked\r\n"),
        (None, _) => {}
    }
    if reply.closes {
        out.put_slice(b"connection: close\r\n");
    }
    out.put_slice(b"\r\n");
}

/// Passes the rest of an answer on. An error leaves the answer without its end.
async fn write_stream<W>(stream: &mut W, streamed: Streamed, now: Duration) -> io::Result<()>
where
    W: AsyncWrite + Unpin,
{
    let Streamed {
        first,
        mut exchange,
        length,
        mut guard,
        deadline,
    } = streamed;
    let chunked = length.is_none();
    for chunk in first {
        write_chunk(stream, &chunk, chunked).await?;
    }
    let end = tokio::time::Instant::now() + deadline.saturating_sub(now);
    loop {
        let next = poll_fn(|cx| exchange.poll_chunk(cx));
        match tokio::time::timeout_at(end, next).await {
            Ok(Some(Ok(chunk))) => write_chunk(stream, &chunk, chunked).await?,
            Ok(Some(Err(e))) => {
                guard.finish(Outcome::Failed);
                return Err(io::Error::other(e));
            }
            Ok(None) => break,
            Err(_) => {
                guard.finish(Outcome::Cancelled);
                return Err(io::ErrorKind::TimedOut.into());
            }
        }
    }
    guard.finish_answered();
    if chunked {
        write_all(stream, b"0\r\n\r\n").await?;
    }
    Ok(())
}

async fn write_chunk<W>(stream: &mut W, chunk: &Bytes, chunked: bool) -> io::Result<()>
where
    W: AsyncWrite + Unpin,
{
    match chunked {
        // An empty chunk would be read as the end of the body.
        true if chunk.is_empty() => Ok(()),
        true => {
            write_all(stream, format!("{:x}\r\n", chunk.len()).as_bytes()).await?;
            write_all(stream, chunk).await?;
            write_all(stream, b"\r\n").await
        }
        false => write_all(stream, chunk).await,
    }
}

pub(crate) async fn write_all<W>(stream: &mut W, bytes: &[u8]) -> io::Result<()>
where
    W: AsyncWrite + Unpin,
{
    match tokio::time::timeout(WRITE_TIMEOUT, stream.write_all(bytes)).await {
        Ok(result) => result,
        Err(_) => Err(io::ErrorKind::TimedOut.into()),
    }
}
