use actix_rt::net::{ActixStream, Ready};
use bytes::BytesMut;
use mangospindle_client::check_head;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// What the bytes that are read next belong to.
#[derive(Debug)]
enum ReadState {
    /// A response head, of which these bytes have been read.
    Head(BytesMut),
    /// The body of a response, or an idle connection.
    Body,
}

/// A stream of an HTTP/1.1 client without pipelining that checks the heads of responses while they are read.
///
/// A malformed head is reported as an error of the stream, before the client can use it. The client must write a
/// request completely before it reads the response.
#[derive(Debug)]
pub struct CheckedStream<S> {
    stream: S,
    state: ReadState,
}

impl<S> CheckedStream<S> {
    /// Wraps a stream on which no request has been sent.
    pub fn new(stream: S) -> Self {
        CheckedStream {
            stream,
            state: ReadState::Body,
        }
    }

    /// Checks bytes that have just been read.
    fn check(&mut self, bytes: &[u8]) -> io::Result<()> {
        let ReadState::Head(head) = &mut self.state else {
            return Ok(());
        };
        head.extend_from_slice(bytes);
        match check_head(head) {
            Ok(Some(_)) => self.state = ReadState::Body,
            Ok(None) => {}
            Err(e) => return Err(io::Error::new(io::ErrorKind::InvalidData, e)),
        }
        Ok(())
    }
}

impl<S> AsyncRead for CheckedStream<S>
where
    S: AsyncRead + Unpin,
{
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let start = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        Poll::Ready(self.check(&buf.filled()[start..]))
    }
}

impl<S> AsyncWrite for CheckedStream<S>
where
    S: AsyncWrite + Unpin,
{
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        // The response to this request comes next.
        self.state = ReadState::Head(BytesMut::new());
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

impl<S> ActixStream for CheckedStream<S>
where
    S: ActixStream,
{
    fn poll_read_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        self.stream.poll_read_ready(cx)
    }

    fn poll_write_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        self.stream.poll_write_ready(cx)
    }
}
