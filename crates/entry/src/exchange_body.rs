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

/// The body of an answer that is read from a connection. Frees the slot at the end.
pub(crate) struct ExchangeBody {
    exchange: Option<Exchange>,
    permit: Option<PermitGuard>,
    result: RequestResult,
    deadline: Pin<Box<Sleep>>,
}

impl ExchangeBody {
    /// Reads the body until `time_left` is over. `result` is reported for a complete body.
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

    fn end(&mut self, result: RequestResult) {
        // The connection is closed or given back before the slot is free for another request.
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
                this.end(match e {
                    ExchangeError::Body(_) => RequestResult::Cancelled,
                    _ => RequestResult::Failed,
                });
                Poll::Ready(Some(Err(e)))
            }
            Poll::Ready(None) => {
                this.end(this.result);
                Poll::Ready(None)
            }
            Poll::Pending => match this.deadline.as_mut().poll(cx) {
                Poll::Ready(()) => {
                    this.end(RequestResult::TimedOut);
                    Poll::Ready(Some(Err(ExchangeError::Truncated)))
                }
                Poll::Pending => Poll::Pending,
            },
        }
    }
}

impl Drop for ExchangeBody {
    fn drop(&mut self) {
        self.end(RequestResult::Cancelled);
    }
}
