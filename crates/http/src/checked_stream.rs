use actix_rt::net::{ActixStream, Ready};
use bytes::BytesMut;
use mangospindle_client::check_head;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Maximum length of a response head, in bytes.
const MAX_HEAD_BYTES: usize = 32 * 1024;

/// What the bytes that are read next belong to.
#[derive(Debug)]
enum ReadState {
    /// A response head, of which these bytes have been read.
    Head(BytesMut),
    /// The body of a response, or an idle connection.
    Body {
        /// Whether the head told where the body ends.
        delimited: bool,
    },
}

/// A stream of an HTTP/1.1 client without pipelining that checks responses while they are read.
///
/// A malformed head, and an end of the stream within a body whose end the head told, are reported as errors of the
/// stream. The client must write a request completely before it reads the response, and must not read further
/// once the body is complete, except to learn whether the connection is still open.
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
            state: ReadState::Body { delimited: false },
        }
    }

    /// Checks bytes that have just been read. There are none at the end of the stream.
    fn check(&mut self, bytes: &[u8]) -> io::Result<()> {
        let head = match &mut self.state {
            ReadState::Head(head) => head,
            // The client reads no further once the body is complete.
            ReadState::Body { delimited: true } if bytes.is_empty() => {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            ReadState::Body { .. } => return Ok(()),
        };
        head.extend_from_slice(bytes);
        // The codec of the client panics if the name of a field has 64 KiB.
        head.truncate(MAX_HEAD_BYTES);
        match check_head(head) {
            Ok(Some(head)) => {
                let delimited = head.delimits_body;
                self.state = ReadState::Body { delimited };
            }
            Ok(None) if head.len() < MAX_HEAD_BYTES => {}
            Ok(None) => return Err(io::ErrorKind::InvalidData.into()),
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
