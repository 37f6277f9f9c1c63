use crate::attempt_guard::AttemptGuard;
use crate::client::ExchangeError;
use crate::proxy_response::ResponseStream;
use bytes::Bytes;
use futures::Stream;
use std::pin::Pin;
use std::task::{Context, Poll};

/// A response body whose end determines the outcome of an attempt.
pub(crate) struct TrackedBody {
    inner: ResponseStream,
    attempt: Option<AttemptGuard>,
}

impl TrackedBody {
    /// Reports the end of `inner` to `attempt`.
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
                    attempt.on_complete();
                }
            }
            Poll::Ready(Some(Err(e))) => {
                if let Some(attempt) = self.attempt.take() {
                    attempt.on_aborted(*e);
                }
            }
            Poll::Ready(Some(Ok(_))) | Poll::Pending => {}
        }
        item
    }
}
