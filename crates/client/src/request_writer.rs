use crate::codec::RequestEncoder;
use crate::{BodyError, BodyFraming, ExchangeError, RequestHead};
use bytes::{Buf, Bytes, BytesMut};
use futures::Stream;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use tokio::io::AsyncWrite;
use tokio::net::TcpStream;

/// The body of a request, chunk by chunk.
pub type BodyStream = Pin<Box<dyn Stream<Item = Result<Bytes, BodyError>>>>;

/// A request on its way to the other side. Holds at most one chunk of the body.
pub struct RequestWriter {
    encoder: RequestEncoder,
    out: BytesMut,
    body: Option<BodyStream>,
    framing: BodyFraming,
    written: u64,
}

impl RequestWriter {
    /// Prepares a request. `body` must be given unless `framing` is `None`.
    pub fn new(
        head: RequestHead,
        host: &str,
        framing: BodyFraming,
        body: Option<BodyStream>,
    ) -> Result<Self, ExchangeError> {
        let mut out = BytesMut::new();
        let encoder = RequestEncoder::start(head, host, framing, &mut out)?;
        Ok(RequestWriter {
            encoder,
            out,
            body: body.filter(|_| framing != BodyFraming::None),
            framing,
            written: 0,
        })
    }

    /// Whether a byte may have left this process.
    pub fn has_started(&self) -> bool {
        self.written > 0
    }

    /// Whether the whole request was written.
    pub fn is_finished(&self) -> bool {
        self.out.is_empty() && self.body.is_none()
    }

    /// Writes as much as the connection and the body's source allow; ready at the end.
    pub fn poll_write(
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
                    self.encoder.body(Some(chunk), &mut self.out)?;
                }
                // An empty chunk would be encoded as the end of the body.
                (Some(Ok(chunk)), _) if chunk.is_empty() => {}
                (Some(Ok(chunk)), _) => self.encoder.body(Some(chunk), &mut self.out)?,
                (None, BodyFraming::Length(left)) if *left > 0 => {
                    return Poll::Ready(Err(ExchangeError::Body(BodyError::LengthMismatch)));
                }
                (None, _) => {
                    self.encoder.body(None, &mut self.out)?;
                    self.body = None;
                }
            }
        }
    }
}
