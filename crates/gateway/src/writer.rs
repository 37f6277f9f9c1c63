//! Writing responses to a caller.
//!
//! The head is not encoded by the codec of `actix-http`, because the codec derives the connection
//! state from the request that it decoded last. With pipelining, that can be a later request than
//! the one that the response belongs to.

use crate::response::{Response, ResponseBody, StreamedBody};
use bytes::{BufMut, Bytes, BytesMut};
use mangospindle_dispatch::Outcome;
use std::future::poll_fn;
use std::io;
use std::time::Duration;
use tokio::io::{AsyncWrite, AsyncWriteExt};

/// Maximum time that a write may block on a caller that does not read its response.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);

/// Writes a response. Returns whether the connection can be used for another one.
pub(crate) async fn write_response<W>(
    stream: &mut W,
    response: Response,
    now: Duration,
) -> io::Result<bool>
where
    W: AsyncWrite + Unpin,
{
    let closes_connection = response.closes_connection;
    let mut out = BytesMut::with_capacity(512);
    write_head(&mut out, &response);
    match response.body {
        ResponseBody::None(_) => write_all(stream, &out).await?,
        ResponseBody::Buffered(body) => {
            out.extend_from_slice(&body);
            write_all(stream, &out).await?;
        }
        ResponseBody::Streamed(streamed) => {
            write_all(stream, &out).await?;
            write_stream(stream, *streamed, now).await?;
        }
    }
    Ok(!closes_connection)
}

/// Encodes the status line and the headers.
fn write_head(out: &mut BytesMut, response: &Response) {
    let reason = response.status.canonical_reason().unwrap_or("Unknown");
    out.put_slice(format!("HTTP/1.1 {} {reason}\r\n", response.status.as_u16()).as_bytes());
    for (name, value) in &response.headers {
        out.put_slice(name.as_str().as_bytes());
        out.put_slice(b": ");
        out.put_slice(value.as_bytes());
        out.put_slice(b"\r\n");
    }
    let length = match &response.body {
        ResponseBody::None(length) => *length,
        ResponseBody::Buffered(body) => Some(body.len() as u64),
        ResponseBody::Streamed(streamed) => streamed.length,
    };
    match (length, &response.body) {
        (Some(length), _) => out.put_slice(format!("content-length: {length}\r\n").as_bytes()),
        (None, ResponseBody::Streamed(_)) => out.put_slice(b"transfer-encoding: chunked\r\n"),
        (None, _) => {}
    }
    if response.closes_connection {
        out.put_slice(b"connection: close\r\n");
    }
    out.put_slice(b"\r\n");
}

/// Forwards a streamed body. After an error the body stays without its end, so that the caller can
/// detect the truncation.
async fn write_stream<W>(stream: &mut W, streamed: StreamedBody, now: Duration) -> io::Result<()>
where
    W: AsyncWrite + Unpin,
{
    let remaining = streamed.deadline.saturating_sub(now);
    // The deadline also bounds the writes: while a caller reads more slowly than the endpoint sends,
    // a read from the endpoint is always ready and does not time out.
    match tokio::time::timeout(remaining, copy_body(stream, streamed)).await {
        Ok(result) => result,
        Err(_) => Err(io::ErrorKind::TimedOut.into()),
    }
}

/// Writes a body while it is read. If the future is dropped, the request counts as cancelled.
async fn copy_body<W>(stream: &mut W, streamed: StreamedBody) -> io::Result<()>
where
    W: AsyncWrite + Unpin,
{
    let StreamedBody {
        buffered,
        mut exchange,
        length,
        mut guard,
        deadline: _,
    } = streamed;
    let chunked = length.is_none();
    write_chunk(stream, &buffered, chunked).await?;
    while let Some(next) = poll_fn(|cx| exchange.poll_chunk(cx)).await {
        match next {
            Ok(chunk) => write_chunk(stream, &chunk, chunked).await?,
            Err(e) => {
                guard.finish(Outcome::Failed);
                return Err(io::Error::other(e));
            }
        }
    }
    guard.finish_success();
    if chunked {
        write_all(stream, b"0\r\n\r\n").await?;
    }
    Ok(())
}

/// Writes a piece of a body, in the chunked transfer coding if `chunked` is set.
async fn write_chunk<W>(stream: &mut W, chunk: &Bytes, chunked: bool) -> io::Result<()>
where
    W: AsyncWrite + Unpin,
{
    match chunked {
        // An empty chunk would terminate the body.
        true if chunk.is_empty() => Ok(()),
        true => {
            write_all(stream, format!("{:x}\r\n", chunk.len()).as_bytes()).await?;
            write_all(stream, chunk).await?;
            write_all(stream, b"\r\n").await
        }
        false => write_all(stream, chunk).await,
    }
}

/// Writes all of `bytes`; fails after [`WRITE_TIMEOUT`].
pub(crate) async fn write_all<W>(stream: &mut W, bytes: &[u8]) -> io::Result<()>
where
    W: AsyncWrite + Unpin,
{
    match tokio::time::timeout(WRITE_TIMEOUT, stream.write_all(bytes)).await {
        Ok(result) => result,
        Err(_) => Err(io::ErrorKind::TimedOut.into()),
    }
}
