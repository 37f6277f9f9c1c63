use crate::client::ExchangeError;
use crate::proxy_response::ResponseStream;
use crate::server_state::ServerState;
use bytes::Bytes;
use futures::Stream;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

/// Counts a request as in progress until it is dropped.
pub(crate) struct InProgressGuard(Arc<ServerState>);

impl InProgressGuard {
    /// Increments the number of requests in progress.
    pub(crate) fn new(shared: &Arc<ServerState>) -> Self {
        shared.metrics.requests_in_progress.inc();
        InProgressGuard(Arc::clone(shared))
    }
}

impl Drop for InProgressGuard {
    fn drop(&mut self) {
        self.0.metrics.requests_in_progress.dec();
    }
}

/// A response body whose request counts as in progress until the body is dropped.
pub(crate) struct CountedBody {
    inner: ResponseStream,
    _guard: InProgressGuard,
}

impl CountedBody {
    /// Holds `guard` until the body is dropped.
    pub(crate) fn new(inner: ResponseStream, guard: InProgressGuard) -> Self {
        CountedBody {
            inner,
            _guard: guard,
        }
    }
}

impl Stream for CountedBody {
    type Item = Result<Bytes, ExchangeError>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        self.inner.as_mut().poll_next(cx)
    }
}
