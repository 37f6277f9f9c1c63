use crate::connection_stats::ConnectionStats;
use futures::io::{AsyncRead, AsyncWrite};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

/// One direction of a stream that records its traffic in [`ConnectionStats`].
pub(crate) struct MeteredStream<S> {
    inner: S,
    stats: Rc<ConnectionStats>,
}

impl<S> MeteredStream<S> {
    pub(crate) fn new(inner: S, stats: Rc<ConnectionStats>) -> Self {
        MeteredStream { inner, stats }
    }
}

impl<S> AsyncRead for MeteredStream<S>
where
    S: AsyncRead + Unpin,
{
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let read = ready!(Pin::new(&mut self.inner).poll_read(cx, buf))?;
        self.stats.record_read(read);
        Poll::Ready(Ok(read))
    }
}

impl<S> AsyncWrite for MeteredStream<S>
where
    S: AsyncWrite + Unpin,
{
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.inner).poll_write(cx, buf))?;
        self.stats.record_write(written);
        Poll::Ready(Ok(written))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_close(cx)
    }
}
