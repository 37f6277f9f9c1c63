use super::chunk_decoder::ChunkDecoder;
use super::{BodyFraming, Connection, ExchangeError, Lease, ResponseHead, Upload};
use actix_web::http::Method;
use bytes::{Bytes, BytesMut};
use mangospindle_model::Clock;
use std::future::poll_fn;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

/// Room for reads before the start of an answer, in bytes. Most answers fit.
const HEAD_READ_BYTES: usize = 4 * 1024;

/// Room for reads of a body, in bytes. Bounds what waits in memory per request.
const BODY_READ_BYTES: usize = 32 * 1024;

/// What is still to be read of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Rest {
    Head,
    Length(u64),
    Chunks(ChunkDecoder),
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
            rest: Rest::Head,
            keep_alive: false,
        }
    }

    /// Whether a byte of the request may have left this process.
    pub(crate) fn has_started(&self) -> bool {
        self.upload.has_started()
    }

    /// Whether the start of the answer has arrived.
    pub(crate) fn has_head(&self) -> bool {
        self.rest != Rest::Head
    }

    /// Writes the request and waits for the start of the answer.
    pub(crate) async fn head(&mut self, clock: &dyn Clock) -> HeadResult {
        let head = poll_fn(|cx| self.poll_head(cx)).await?;
        if let Some(connection) = self.lease.as_mut().and_then(Lease::connection) {
            connection.proved_at = clock.now();
            connection.used_at = connection.proved_at;
        }
        self.keep_alive = head.keep_alive;
        self.rest = match head.framing {
            BodyFraming::None | BodyFraming::Length(0) => Rest::Nothing,
            BodyFraming::Length(n) => Rest::Length(n),
            BodyFraming::Chunked => Rest::Chunks(ChunkDecoder::Size),
        };
        if self.rest == Rest::Nothing {
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
                Ok(None) if self.rest == Rest::Nothing => {
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
            let method = self.method.clone();
            if let Some(head) = match self.buf() {
                Some(buf) => ResponseHead::decode(buf, &method)?,
                None => return Poll::Ready(Err(ExchangeError::Closed)),
            } {
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
            Rest::Head => HEAD_READ_BYTES,
            _ => BODY_READ_BYTES,
        });
        tokio_util::io::poll_read_buf(Pin::new(stream), cx, buf)
    }

    fn decode(&mut self) -> Result<Option<Bytes>, ExchangeError> {
        let Some(Connection { buf, .. }) = self.lease.as_mut().and_then(Lease::connection) else {
            return Ok(None);
        };
        match &mut self.rest {
            Rest::Length(_) if buf.is_empty() => Ok(None),
            Rest::Length(left) => {
                let n = (*left).min(buf.len() as u64);
                *left -= n;
                let chunk = buf.split_to(n as usize).freeze();
                if *left == 0 {
                    self.rest = Rest::Nothing;
                }
                Ok(Some(chunk))
            }
            Rest::Chunks(decoder) => {
                let chunk = decoder.decode(buf)?;
                if *decoder == ChunkDecoder::End {
                    self.rest = Rest::Nothing;
                }
                Ok(chunk)
            }
            Rest::Head | Rest::Nothing => Ok(None),
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

    fn buf(&mut self) -> Option<&mut BytesMut> {
        let connection = self.lease.as_mut().and_then(Lease::connection)?;
        Some(&mut connection.buf)
    }
}

/// Start of an answer, or the reason why there is none.
type HeadResult = Result<ResponseHead, ExchangeError>;
