use crate::client::{Exchange, ExchangeError};
use crate::permit_guard::PermitGuard;
use crate::slot_release::release_after_close;
use bytes::Bytes;
use futures::Stream;
use mangospindle_quota::RequestResult;
use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::time::Sleep;

/// A response body that is read from a connection. Releases the permit at its end.
pub(crate) struct ExchangeBody {
    exchange: Option<Exchange>,
    permit: Option<PermitGuard>,
    result: RequestResult,
    deadline: Pin<Box<Sleep>>,
}

impl ExchangeBody {
    /// Reads the body for at most `time_left`. `result` is reported if the body is complete.
    pub(crate) fn new(
        exchange: Option<Exchange>,
        permit: Option<PermitGuard>,
        result: RequestResult,
        time_left: Duration,
    ) -> Self {
        ExchangeBody {
            exchange,
            permit,
            result,
            deadline: Box::pin(tokio::time::sleep(time_left)),
        }
    }

    fn finish(&mut self, result: RequestResult) {
        // Closes the connection or returns it to the pool before another request can use the slot.
        self.exchange = None;
        let Some(mut permit) = self.permit.take() else {
            return;
        };
        permit.set_result(result);
        if matches!(result, RequestResult::Cancelled | RequestResult::TimedOut) {
            release_after_close(permit);
        }
    }
}

impl Stream for ExchangeBody {
    type Item = Result<Bytes, ExchangeError>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let this = &mut *self;
        let Some(exchange) = &mut this.exchange else {
            return Poll::Ready(None);
        };
        match exchange.poll_chunk(cx) {
            Poll::Ready(Some(Ok(chunk))) => Poll::Ready(Some(Ok(chunk))),
            Poll::Ready(Some(Err(e))) => {
                this.finish(match e {
                    ExchangeError::Body(_) => RequestResult::Cancelled,
                    _ => RequestResult::Failed,
                });
                Poll::Ready(Some(Err(e)))
            }
            Poll::Ready(None) => {
                this.finish(this.result);
                Poll::Ready(None)
            }
            Poll::Pending => match this.deadline.as_mut().poll(cx) {
                Poll::Ready(()) => {
                    this.finish(RequestResult::TimedOut);
                    Poll::Ready(Some(Err(ExchangeError::Truncated)))
                }
                Poll::Pending => Poll::Pending,
            },
        }
    }
}

impl Drop for ExchangeBody {
    fn drop(&mut self) {
        self.finish(RequestResult::Cancelled);
    }
}
