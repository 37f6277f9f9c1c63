use crate::answer::AnswerStream;
use crate::client::ExchangeError;
use crate::shared::Shared;
use bytes::Bytes;
use futures::Stream;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

/// Counts a request until its answer has been passed on.
pub(crate) struct InProgress(Arc<Shared>);

impl InProgress {
    /// Starts to count a request.
    pub(crate) fn new(shared: &Arc<Shared>) -> Self {
        shared.metrics.requests_in_progress.inc();
        InProgress(Arc::clone(shared))
    }
}

impl Drop for InProgress {
    fn drop(&mut self) {
        self.0.metrics.requests_in_progress.dec();
    }
}

/// The body of an answer, with the count that ends with it.
pub(crate) struct CountedBody {
    inner: AnswerStream,
    _count: InProgress,
}

impl CountedBody {
    /// Keeps the count until the body is dropped.
    pub(crate) fn new(inner: AnswerStream, count: InProgress) -> Self {
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
