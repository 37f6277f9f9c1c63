use crate::codec::RequestEncoder;
use crate::{BodyError, BodyFraming, ExchangeError, RequestHead};
use bytes::{Buf, Bytes, BytesMut};
use futures::Stream;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use tokio::io::AsyncWrite;
use tokio::net::TcpStream;

/// The body of a request, chunk by chunk.
pub type BodyStream = Pin<Box<dyn Stream<Item = Result<Bytes, BodyError>>>>;

/// Writes a request to a connection. Buffers at most one chunk of the body.
pub struct RequestWriter {
    encoder: RequestEncoder,
    out: BytesMut,
    body: Option<BodyStream>,
    framing: BodyFraming,
    written: u64,
    connection_lost: bool,
}

impl RequestWriter {
    /// Prepares a request. `body` must be given unless `framing` is [`BodyFraming::None`].
    ///
    /// # Errors
    ///
    /// [`ExchangeError::Malformed`] if the path or the host is not valid.
    pub fn new(
        head: RequestHead,
        host: &str,
        framing: BodyFraming,
        body: Option<BodyStream>,
    ) -> Result<Self, ExchangeError> {
        let mut out = BytesMut::new();
        let encoder = RequestEncoder::encode_head(head, host, framing, &mut out)?;
        Ok(RequestWriter {
            encoder,
            out,
            body: body.filter(|_| framing != BodyFraming::None),
            framing,
            written: 0,
            connection_lost: false,
        })
    }

    /// Whether a byte may have left this process.
    pub fn has_started(&self) -> bool {
        self.written > 0
    }

    /// Whether a write failed because the connection was reset or timed out, and not because the peer had
    /// ended it in order. Such a write takes the error from the socket: reads find the end of the stream
    /// afterwards, as after an orderly end.
    pub fn has_lost_connection(&self) -> bool {
        self.connection_lost
    }

    /// Whether the complete request was written.
    pub fn is_finished(&self) -> bool {
        self.out.is_empty() && self.body.is_none()
    }

    /// Writes as much as the connection accepts and the body stream provides. Ready when the
    /// complete request was written.
    ///
    /// # Errors
    ///
    /// - [`ExchangeError::Closed`] if the connection failed.
    /// - [`ExchangeError::Body`] if the body failed or does not have the declared length.
    /// - [`ExchangeError::Malformed`] if the codec rejects a chunk.
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
                    // The error after a reset is this one only if the peer's end of the stream came first.
                    Err(e) if e.kind() == io::ErrorKind::BrokenPipe => {
                        return Poll::Ready(Err(ExchangeError::Closed));
                    }
                    Ok(_) | Err(_) => {
                        self.connection_lost = true;
                        return Poll::Ready(Err(ExchangeError::Closed));
                    }
                }
            }
            let Some(body) = &mut self.body else {
                return Poll::Ready(Ok(()));
            };
            let chunk = ready!(body.as_mut().poll_next(cx));
            match (chunk, &mut self.framing) {
                (Some(Err(e)), _) => return Poll::Ready(Err(ExchangeError::Body(e))),
                (Some(Ok(chunk)), BodyFraming::Length(remaining)) => {
                    let Some(rest) = remaining.checked_sub(chunk.len() as u64) else {
                        return Poll::Ready(Err(ExchangeError::Body(BodyError::LengthMismatch)));
                    };
                    *remaining = rest;
                    self.encoder.encode_body(Some(chunk), &mut self.out)?;
                }
                // An empty chunk would be encoded as the end of the body.
                (Some(Ok(chunk)), _) if chunk.is_empty() => {}
                (Some(Ok(chunk)), _) => self.encoder.encode_body(Some(chunk), &mut self.out)?,
                (None, BodyFraming::Length(remaining)) if *remaining > 0 => {
                    return Poll::Ready(Err(ExchangeError::Body(BodyError::LengthMismatch)));
                }
                (None, _) => {
                    self.encoder.encode_body(None, &mut self.out)?;
                    self.body = None;
                }
            }
        }
    }
}
