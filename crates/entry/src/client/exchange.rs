use super::codec::client_codec;
use super::{BodyFraming, Connection, ExchangeError, Lease, ResponseHead, Upload};
use actix_http::h1::{ClientCodec, ClientPayloadCodec};
use actix_web::http::{Method, StatusCode};
use bytes::Bytes;
use mangospindle_model::Clock;
use std::future::poll_fn;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use tokio_util::codec::Decoder;

/// Room for reads before the start of an answer, in bytes. Most answers fit.
const HEAD_READ_BYTES: usize = 4 * 1024;

/// Room for reads of a body, in bytes. Bounds what waits in memory per request.
const BODY_READ_BYTES: usize = 32 * 1024;

/// Longest head of an answer, in bytes.
const MAX_HEAD_BYTES: usize = 32 * 1024;

/// What is still to be read of an answer.
enum Rest {
    Head(ClientCodec),
    Body(ClientPayloadCodec),
    Nothing,
}

/// One request and its answer on one connection.
///
/// The request is written while the answer is read, so that an early answer is seen.
pub(crate) struct Exchange {
    lease: Option<Lease>,
    upload: Upload,
    upload_failed: bool,
    method: Method,
    rest: Rest,
    keep_alive: bool,
}

impl Exchange {
    /// Starts an exchange on a connection that is open and quiet.
    pub(crate) fn new(lease: Lease, method: Method, upload: Upload) -> Self {
        Exchange {
            lease: Some(lease),
            upload,
            upload_failed: false,
            method,
            rest: Rest::Head(client_codec()),
            keep_alive: false,
        }
    }

    /// Whether a byte of the request may have left this process.
    pub(crate) fn has_started(&self) -> bool {
        self.upload.has_started()
    }

    /// Whether the start of the answer has arrived.
    pub(crate) fn has_head(&self) -> bool {
        !matches!(self.rest, Rest::Head(_))
    }

    /// Writes the request and waits for the start of the answer.
    pub(crate) async fn head(&mut self, clock: &dyn Clock) -> HeadResult {
        let head = poll_fn(|cx| self.poll_head(cx)).await?;
        if let Some(connection) = self.lease.as_mut().and_then(Lease::connection) {
            connection.proved_at = clock.now();
            connection.used_at = connection.proved_at;
        }
        self.keep_alive = head.keep_alive;
        self.rest = match (
            head.framing,
            std::mem::replace(&mut self.rest, Rest::Nothing),
        ) {
            (BodyFraming::None | BodyFraming::Length(0), _) => Rest::Nothing,
            (_, Rest::Head(codec)) => Rest::Body(codec.into_payload_codec()),
            (_, rest) => rest,
        };
        if matches!(self.rest, Rest::Nothing) {
            self.finish();
        }
        Ok(head)
    }

    /// Reads the next piece of the answer's body; `None` after its proved end.
    pub(crate) fn poll_chunk(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, ExchangeError>>> {
        loop {
            match self.decode() {
                Err(e) => {
                    self.lease = None;
                    return Poll::Ready(Some(Err(e)));
                }
                Ok(Some(chunk)) => return Poll::Ready(Some(Ok(chunk))),
                Ok(None) if matches!(self.rest, Rest::Nothing) => {
                    self.finish();
                    return Poll::Ready(None);
                }
                Ok(None) => {}
            }
            if let Err(e) = self.drive_upload(cx) {
                self.lease = None;
                return Poll::Ready(Some(Err(e)));
            }
            match ready!(self.poll_read(cx)) {
                Ok(n) if n > 0 => {}
                Ok(_) | Err(_) => {
                    self.lease = None;
                    return Poll::Ready(Some(Err(ExchangeError::Truncated)));
                }
            }
        }
    }

    /// Gives up the exchange and returns the connection, if it is still open.
    pub(crate) fn abandon(mut self) -> Option<Lease> {
        self.lease.take()
    }

    fn poll_head(&mut self, cx: &mut Context<'_>) -> Poll<HeadResult> {
        loop {
            if let Some(head) = self.decode_head()? {
                return Poll::Ready(Ok(head));
            }
            self.drive_upload(cx)?;
            match ready!(self.poll_read(cx)) {
                Ok(n) if n > 0 => {}
                Ok(_) | Err(_) => return Poll::Ready(Err(ExchangeError::Closed)),
            }
        }
    }

    /// Writes what can be written. A failed write is not an error yet: the other side may have
    /// answered early and closed the connection.
    fn drive_upload(&mut self, cx: &mut Context<'_>) -> Result<(), ExchangeError> {
        let connection = self.lease.as_mut().and_then(Lease::connection);
        match connection {
            Some(connection) if !self.upload_failed && !self.upload.is_finished() => {
                match self.upload.poll_write(&mut connection.stream, cx) {
                    Poll::Ready(Err(ExchangeError::Closed)) => {
                        self.upload_failed = true;
                        Ok(())
                    }
                    Poll::Ready(Err(e)) => Err(e),
                    Poll::Ready(Ok(())) | Poll::Pending => Ok(()),
                }
            }
            Some(_) | None => Ok(()),
        }
    }

    fn poll_read(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<usize>> {
        let Some(Connection { stream, buf, .. }) = self.lease.as_mut().and_then(Lease::connection)
        else {
            return Poll::Ready(Ok(0));
        };
        // Grows with the answer, so that idle connections hold little memory.
        buf.reserve(match self.rest {
            Rest::Head(_) => HEAD_READ_BYTES,
            Rest::Body(_) | Rest::Nothing => BODY_READ_BYTES,
        });
        tokio_util::io::poll_read_buf(Pin::new(stream), cx, buf)
    }

    /// Takes the head of the answer from what was read; interim answers are skipped.
    fn decode_head(&mut self) -> Result<Option<ResponseHead>, ExchangeError> {
        let Rest::Head(codec) = &mut self.rest else {
            return Err(ExchangeError::Malformed);
        };
        let Some(connection) = self.lease.as_mut().and_then(Lease::connection) else {
            return Err(ExchangeError::Closed);
        };
        let buf = &mut connection.buf;
        loop {
            match codec.decode(buf) {
                Ok(Some(head)) if head.status == StatusCode::SWITCHING_PROTOCOLS => {
                    return Err(ExchangeError::Malformed);
                }
                Ok(Some(head)) if head.status.is_informational() => *codec = client_codec(),
                Ok(Some(head)) => return ResponseHead::check(&head, &self.method).map(Some),
                Ok(None) if buf.len() < MAX_HEAD_BYTES => return Ok(None),
                Ok(None) | Err(_) => return Err(ExchangeError::Malformed),
            }
        }
    }

    /// Takes the next piece of the body from what was read; `None` if there is none yet.
    fn decode(&mut self) -> Result<Option<Bytes>, ExchangeError> {
        let (Rest::Body(codec), Some(connection)) = (
            &mut self.rest,
            self.lease.as_mut().and_then(Lease::connection),
        ) else {
            return Ok(None);
        };
        match codec.decode(&mut connection.buf) {
            Ok(Some(Some(chunk))) => Ok(Some(chunk)),
            Ok(Some(None)) => {
                self.rest = Rest::Nothing;
                Ok(None)
            }
            Ok(None) => Ok(None),
            Err(_) => Err(ExchangeError::Malformed),
        }
    }

    /// Gives the connection back if nothing is left on it, and closes it otherwise.
    fn finish(&mut self) {
        if let Some(mut lease) = self.lease.take() {
            let clean = lease.connection().is_some_and(|c| c.buf.is_empty());
            if clean && self.keep_alive && self.upload.is_finished() {
                lease.give_back();
            }
        }
    }
}

/// Start of an answer, or the reason why there is none.
type HeadResult = Result<ResponseHead, ExchangeError>;
