use crate::codec::client_codec;
use crate::{BodyFraming, Connection, ExchangeError, Lease, RequestWriter, ResponseHead};
use actix_http::h1::{ClientCodec, ClientPayloadCodec};
use actix_web::http::{Method, StatusCode};
use bytes::Bytes;
use mangospindle_model::Clock;
use std::future::poll_fn;
use std::hash::Hash;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio_util::codec::Decoder;

/// Room for reads before the start of an answer, in bytes. Most answers fit.
const HEAD_READ_BYTES: usize = 4 * 1024;

/// Room for reads of a body, in bytes. Bounds what waits in memory per request.
const BODY_READ_BYTES: usize = 32 * 1024;

/// Time before the end of the other side's idle timeout at which a connection is no longer used, so
/// that no request crosses its close on the way.
const IDLE_CLOSE_MARGIN: Duration = Duration::from_millis(1000);

/// Longest head of an answer, in bytes.
const MAX_HEAD_BYTES: usize = 32 * 1024;

/// What is still to be read of an answer.
enum Rest {
    Head(ClientCodec),
    /// The body of an answer to an earlier request on the connection.
    Stray(ClientPayloadCodec),
    Body(ClientPayloadCodec),
    /// The body ends with the connection.
    CloseDelimited,
    Nothing,
}

/// Header that names the request that an answer belongs to.
const REQUEST_ID: &str = "x-request-id";

/// One request and its answer on one connection.
///
/// The request is written while the answer is read, so that an early answer is seen.
pub struct Exchange<T>
where
    T: Copy + Eq + Hash,
{
    lease: Option<Lease<T>>,
    upload: RequestWriter,
    upload_failed: bool,
    method: Method,
    rest: Rest,
    keep_alive: bool,
    /// Answers that name another request are skipped.
    expected_id: Option<String>,
    accepts_unframed: bool,
}

impl<T> Exchange<T>
where
    T: Copy + Eq + Hash,
{
    /// Starts an exchange on a connection that is open and quiet.
    pub fn new(lease: Lease<T>, method: Method, upload: RequestWriter) -> Self {
        Exchange {
            lease: Some(lease),
            upload,
            upload_failed: false,
            method,
            rest: Rest::Head(client_codec()),
            keep_alive: false,
            expected_id: None,
            accepts_unframed: false,
        }
    }

    /// Skips answers that name another request than `id`: an endpoint may answer twice, and the
    /// second answer then arrives where the next one is expected.
    pub fn expect_request_id(mut self, id: &str) -> Self {
        self.expected_id = Some(id.to_string());
        self
    }

    /// Accepts an answer whose end is the regular end of the connection.
    pub fn accept_close_delimited(mut self) -> Self {
        self.accepts_unframed = true;
        self
    }

    /// Whether a byte of the request may have left this process.
    pub fn has_started(&self) -> bool {
        self.upload.has_started()
    }

    /// Whether the start of the answer has arrived.
    pub fn has_response_head(&self) -> bool {
        !matches!(self.rest, Rest::Head(_) | Rest::Stray(_))
    }

    /// Writes the request and waits for the start of the answer.
    pub async fn send_request(&mut self, clock: &dyn Clock) -> HeadResult {
        let head = poll_fn(|cx| self.poll_head(cx)).await?;
        if let Some(connection) = self.lease.as_mut().and_then(Lease::connection) {
            connection.validated_at = clock.now();
            connection.last_used_at = connection.validated_at;
            let usable_for = head
                .idle_timeout
                .map(|t| t.saturating_sub(IDLE_CLOSE_MARGIN).max(t / 2));
            connection.expires_at = usable_for.map(|t| connection.validated_at + t);
        }
        self.keep_alive = head.keep_alive;
        self.rest = match (
            head.framing,
            std::mem::replace(&mut self.rest, Rest::Nothing),
        ) {
            (BodyFraming::None | BodyFraming::Length(0), _) => Rest::Nothing,
            (BodyFraming::CloseDelimited, _) => Rest::CloseDelimited,
            (_, Rest::Head(codec)) => Rest::Body(codec.into_payload_codec()),
            (_, rest) => rest,
        };
        if matches!(self.rest, Rest::Nothing) {
            self.finish();
        }
        Ok(head)
    }

    /// Reads the next piece of the answer's body; `None` after its proved end.
    pub fn poll_chunk(
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
                Ok(_) if matches!(self.rest, Rest::CloseDelimited) => self.rest = Rest::Nothing,
                Ok(_) | Err(_) => {
                    self.lease = None;
                    return Poll::Ready(Some(Err(ExchangeError::Truncated)));
                }
            }
        }
    }

    /// Gives up the exchange and returns the connection, if it is still open.
    pub fn abandon(mut self) -> Option<Lease<T>> {
        self.lease.take()
    }

    fn poll_head(&mut self, cx: &mut Context<'_>) -> Poll<HeadResult> {
        loop {
            match self.decode_head()? {
                Some(head) if self.is_stray(&head) => {
                    self.skip_stray(&head)?;
                    continue;
                }
                Some(head) => return Poll::Ready(Ok(head)),
                None => {}
            }
            self.drive_upload(cx)?;
            match ready!(self.poll_read(cx)) {
                Ok(n) if n > 0 => {}
                Ok(_) | Err(_) => return Poll::Ready(Err(ExchangeError::Closed)),
            }
        }
    }

    /// Whether an answer belongs to an earlier request on the connection.
    fn is_stray(&self, head: &ResponseHead) -> bool {
        let named = head.headers.get(REQUEST_ID).map(|v| v.as_bytes());
        match (&self.expected_id, named) {
            (Some(expected), Some(named)) => expected.as_bytes() != named,
            _ => false,
        }
    }

    /// Continues behind the head of an answer to an earlier request.
    fn skip_stray(&mut self, head: &ResponseHead) -> Result<(), ExchangeError> {
        self.rest = match (
            head.framing,
            std::mem::replace(&mut self.rest, Rest::Nothing),
        ) {
            (BodyFraming::None | BodyFraming::Length(0), _) => Rest::Head(client_codec()),
            (BodyFraming::CloseDelimited, _) => return Err(ExchangeError::Closed),
            (_, Rest::Head(codec)) => Rest::Stray(codec.into_payload_codec()),
            (_, rest) => rest,
        };
        Ok(())
    }

    /// Drops the body of an answer to an earlier request. Returns whether its end is reached.
    fn drain_stray(&mut self) -> Result<bool, ExchangeError> {
        let (Rest::Stray(codec), Some(connection)) = (
            &mut self.rest,
            self.lease.as_mut().and_then(Lease::connection),
        ) else {
            return Ok(true);
        };
        loop {
            match codec.decode(&mut connection.buf) {
                Ok(Some(Some(_))) => {}
                Ok(Some(None)) => {
                    self.rest = Rest::Head(client_codec());
                    return Ok(true);
                }
                Ok(None) => return Ok(false),
                Err(_) => return Err(ExchangeError::Malformed),
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
            Rest::Stray(_) | Rest::Body(_) | Rest::CloseDelimited | Rest::Nothing => {
                BODY_READ_BYTES
            }
        });
        tokio_util::io::poll_read_buf(Pin::new(stream), cx, buf)
    }

    /// Takes the head of the answer from what was read; interim answers are skipped.
    fn decode_head(&mut self) -> Result<Option<ResponseHead>, ExchangeError> {
        if !self.drain_stray()? {
            return Ok(None);
        }
        let unframed = self.accepts_unframed;
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
                Ok(Some(head)) => {
                    return ResponseHead::validate(&head, &self.method, unframed).map(Some);
                }
                Ok(None) if buf.len() < MAX_HEAD_BYTES => return Ok(None),
                Ok(None) | Err(_) => return Err(ExchangeError::Malformed),
            }
        }
    }

    /// Takes the next piece of the body from what was read; `None` if there is none yet.
    fn decode(&mut self) -> Result<Option<Bytes>, ExchangeError> {
        let connection = self.lease.as_mut().and_then(Lease::connection);
        let (codec, connection) = match (&mut self.rest, connection) {
            (Rest::Body(codec), Some(connection)) => (codec, connection),
            (Rest::CloseDelimited, Some(connection)) if !connection.buf.is_empty() => {
                return Ok(Some(connection.buf.split().freeze()));
            }
            _ => return Ok(None),
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
                lease.release();
            }
        }
    }
}

/// Start of an answer, or the reason why there is none.
pub type HeadResult = Result<ResponseHead, ExchangeError>;
