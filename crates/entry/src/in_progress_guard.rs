use crate::client::ExchangeError;
use crate::proxy_response::ResponseStream;
use crate::server_state::ServerState;
use bytes::Bytes;
use futures::Stream;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

/// Counts a request as in progress until the last clone is dropped.
#[derive(Clone)]
pub(crate) struct InProgressGuard {
    _counted: Arc<CountedRequest>,
}

impl InProgressGuard {
    /// Increments the number of requests in progress.
    pub(crate) fn new(shared: &Arc<ServerState>) -> Self {
        shared.metrics.requests_in_progress.inc();
        InProgressGuard {
            _counted: Arc::new(CountedRequest(Arc::clone(shared))),
        }
    }
}

/// A request in the number of requests in progress.
struct CountedRequest(Arc<ServerState>);

impl Drop for CountedRequest {
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
