use super::{BodyError, BodyFraming, ExchangeError};
use bytes::{Buf, BufMut, Bytes, BytesMut};
use futures::Stream;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use tokio::io::AsyncWrite;
use tokio::net::TcpStream;

/// The body of a request, chunk by chunk.
pub(crate) type BodyStream = Pin<Box<dyn Stream<Item = Result<Bytes, BodyError>>>>;

/// A request on its way to the other side. Holds at most one chunk of the body.
pub(crate) struct Upload {
    out: BytesMut,
    body: Option<BodyStream>,
    framing: BodyFraming,
    written: u64,
}

impl Upload {
    /// Starts with an encoded head. `body` must be given unless `framing` is `None`.
    pub(crate) fn new(head: BytesMut, framing: BodyFraming, body: Option<BodyStream>) -> Self {
        Upload {
            out: head,
            body: body.filter(|_| framing != BodyFraming::None),
            framing,
            written: 0,
        }
    }

    /// Whether a byte may have left this process.
    pub(crate) fn has_started(&self) -> bool {
        self.written > 0
    }

    /// Whether the whole request was written.
    pub(crate) fn is_finished(&self) -> bool {
        self.out.is_empty() && self.body.is_none()
    }

    /// Writes as much as the connection and the body's source allow; ready at the end.
    pub(crate) fn poll_write(
        &mut self,
        stream: &mut TcpStream,
        cx: &mut Context<'_>,
    ) -> Poll<Result<(), ExchangeError>> {
        loop {
            while !self.out.is_empty() {
                let written = ready!(Pin::new(&mut *stream).poll_write(cx, &self.out));
                match written {
                    Ok(n) if n > 0 => {
                        self.written += n as u64;
                        self.out.advance(n);
                    }
                    Ok(_) | Err(_) => return Poll::Ready(Err(ExchangeError::Closed)),
                }
            }
            let Some(body) = &mut self.body else {
                return Poll::Ready(Ok(()));
            };
            let chunk = ready!(body.as_mut().poll_next(cx));
            match (chunk, &mut self.framing) {
                (Some(Err(e)), _) => return Poll::Ready(Err(ExchangeError::Body(e))),
                (Some(Ok(chunk)), BodyFraming::Length(left)) => {
                    let Some(rest) = left.checked_sub(chunk.len() as u64) else {
                        return Poll::Ready(Err(ExchangeError::Body(BodyError::LengthMismatch)));
                    };
                    *left = rest;
                    self.out.put(chunk);
                }
                (Some(Ok(chunk)), _) if chunk.is_empty() => {}
                (Some(Ok(chunk)), _) => {
                    self.out
                        .put_slice(format!("{:x}\r\n", chunk.len()).as_bytes());
                    self.out.put(chunk);
                    self.out.put_slice(b"\r\n");
                }
                (None, BodyFraming::Length(left)) if *left > 0 => {
                    return Poll::Ready(Err(ExchangeError::Body(BodyError::LengthMismatch)));
                }
                (None, BodyFraming::Chunked) => {
                    self.out.put_slice(b"0\r\n\r\n");
                    self.body = None;
                }
                (None, _) => self.body = None,
            }
        }
    }
}
