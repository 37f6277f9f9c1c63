use crate::link_stats::LinkStats;
use futures::io::{AsyncRead, AsyncWrite};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

/// A half of a stream that records its traffic.
pub(crate) struct Metered<S> {
    inner: S,
    stats: Rc<LinkStats>,
}

impl<S> Metered<S> {
    pub(crate) fn new(inner: S, stats: Rc<LinkStats>) -> Self {
        Metered { inner, stats }
    }
}

impl<S> AsyncRead for Metered<S>
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

impl<S> AsyncWrite for Metered<S>
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
