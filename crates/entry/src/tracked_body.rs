use crate::attempt_guard::AttemptGuard;
use crate::client::ExchangeError;
use crate::proxy_response::ResponseStream;
use bytes::Bytes;
use futures::Stream;
use std::pin::Pin;
use std::task::{Context, Poll};

/// The body of an answer, with the attempt whose result it decides.
pub(crate) struct TrackedBody {
    inner: ResponseStream,
    attempt: Option<AttemptGuard>,
}

impl TrackedBody {
    /// Tracks a body.
    pub(crate) fn new(inner: ResponseStream, attempt: AttemptGuard) -> Self {
        TrackedBody {
            inner,
            attempt: Some(attempt),
        }
    }
}

impl Stream for TrackedBody {
    type Item = Result<Bytes, ExchangeError>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let item = self.inner.as_mut().poll_next(cx);
        match &item {
            Poll::Ready(None) => {
                if let Some(attempt) = self.attempt.take() {
                    attempt.complete();
                }
            }
            Poll::Ready(Some(Err(e))) => {
                if let Some(attempt) = self.attempt.take() {
                    attempt.aborted(*e);
                }
            }
            Poll::Ready(Some(Ok(_))) | Poll::Pending => {}
        }
        item
    }
}
