use crate::client::ExchangeError;
use crate::proxy_response::ResponseStream;
use crate::server_state::ServerState;
use bytes::Bytes;
use futures::Stream;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

/// Counts a request until its answer has been passed on.
pub(crate) struct InProgressGuard(Arc<ServerState>);

impl InProgressGuard {
    /// Starts to count a request.
    pub(crate) fn new(shared: &Arc<ServerState>) -> Self {
        shared.metrics.in_progress.inc();
        InProgressGuard(Arc::clone(shared))
    }
}

impl Drop for InProgressGuard {
    fn drop(&mut self) {
        self.0.metrics.in_progress.dec();
    }
}

/// The body of an answer, with the count that ends with it.
pub(crate) struct CountedBody {
    inner: ResponseStream,
    _count: InProgressGuard,
}

impl CountedBody {
    /// Keeps the count until the body is dropped.
    pub(crate) fn new(inner: ResponseStream, count: InProgressGuard) -> Self {
        CountedBody {
            inner,
            _count: count,
        }
    }
}

impl Stream for CountedBody {
    type Item = Result<Bytes, ExchangeError>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        self.inner.as_mut().poll_next(cx)
    }
}
