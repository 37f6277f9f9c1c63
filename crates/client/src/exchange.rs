use crate::codec::client_codec;
use crate::expected_id::response_id;
use crate::head_check::check_head;
use crate::{
    BodyFraming, Connection, ExchangeError, ExpectedId, Lease, RequestWriter, ResponseHead,
};
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

/// Buffer space reserved for reads of a response head, in bytes. Most responses fit.
const HEAD_READ_BYTES: usize = 4 * 1024;

/// Buffer space reserved for reads of a body, in bytes. Bounds the buffered bytes per request.
const BODY_READ_BYTES: usize = 32 * 1024;

/// Margin before the end of the peer's idle timeout. A connection is not used within it, so that a
/// request does not race with the close by the peer.
const IDLE_CLOSE_MARGIN: Duration = Duration::from_millis(1000);

/// Maximum length of a response head, in bytes.
const MAX_HEAD_BYTES: usize = 32 * 1024;

/// Number of reads after which an exchange lets other tasks of the thread take their turn. An
/// endpoint can send faster than its bytes are decoded.
const MAX_READS_PER_TURN: u32 = 8;

/// State of reading a response.
enum ReadState {
    /// The head of the response.
    Head(ClientCodec),
    /// The body of the response to an earlier request on the connection.
    StaleBody(ClientPayloadCodec),
    /// The body of the response, delimited by its length or its last chunk.
    Body(ClientPayloadCodec),
    /// The close-delimited body of the response.
    CloseDelimited,
    /// The response was read to its end.
    Done,
}

/// One request and its response on one connection.
///
/// The request is written while the response is read, so that an early response is detected.
pub struct Exchange<T>
where
    T: Copy + Eq + Hash,
{
    lease: Option<Lease<T>>,
    request_writer: RequestWriter,
    write_failed: bool,
    method: Method,
    read_state: ReadState,
    keep_alive: bool,
    expected_id: ExpectedId,
    accepts_close_delimited: bool,
    keeps_connection: bool,
}

impl<T> Exchange<T>
where
    T: Copy + Eq + Hash,
{
    /// Creates an exchange on an open connection without unread bytes.
    pub fn new(
        lease: Lease<T>,
        method: Method,
        request_writer: RequestWriter,
        expected_id: ExpectedId,
    ) -> Self {
        Exchange {
            lease: Some(lease),
            request_writer,
            write_failed: false,
            method,
            read_state: ReadState::Head(client_codec()),
            keep_alive: false,
            expected_id,
            accepts_close_delimited: false,
            keeps_connection: false,
        }
    }

    /// Keeps the connection after the response, for [`abandon`](Self::abandon), instead of returning it
    /// to the pool. A connection that cannot carry another request is closed all the same.
    pub fn keep_connection(mut self) -> Self {
        self.keeps_connection = true;
        self
    }

    /// Accepts a response whose body ends when the peer closes the connection.
    pub fn accept_close_delimited(mut self) -> Self {
        self.accepts_close_delimited = true;
        self
    }

    /// Whether the connection is kept after the response.
    pub fn keeps_connection(&self) -> bool {
        self.keeps_connection
    }

    /// Whether a byte of the request may have left this process.
    pub fn has_started(&self) -> bool {
        self.request_writer.has_started()
    }

    /// Whether the response head has arrived.
    pub fn has_response_head(&self) -> bool {
        !matches!(
            self.read_state,
            ReadState::Head(_) | ReadState::StaleBody(_)
        )
    }

    /// Sends the request and waits for the response head.
    ///
    /// # Errors
    ///
    /// See [`ExchangeError`].
    pub async fn send_request(&mut self, clock: &dyn Clock) -> HeadResult {
        let head = poll_fn(|cx| self.poll_head(cx)).await?;
        if let Some(connection) = self.lease.as_mut().and_then(Lease::connection) {
            connection.validated_at = clock.now();
            connection.last_used_at = connection.validated_at;
            connection.last_response_identified = response_id(&head.headers).is_some();
            let usable_for = head
                .idle_timeout
                .map(|t| t.saturating_sub(IDLE_CLOSE_MARGIN).max(t / 2));
            connection.expires_at = usable_for.map(|t| connection.validated_at + t);
        }
        self.keep_alive = head.keep_alive;
        self.read_state = match (
            head.framing,
            std::mem::replace(&mut self.read_state, ReadState::Done),
        ) {
            (BodyFraming::None | BodyFraming::Length(0), _) => ReadState::Done,
            (BodyFraming::CloseDelimited, _) => ReadState::CloseDelimited,
            (_, ReadState::Head(codec)) => ReadState::Body(codec.into_payload_codec()),
            (_, read_state) => read_state,
        };
        if matches!(self.read_state, ReadState::Done) {
            self.finish();
        }
        Ok(head)
    }

    /// Reads the next chunk of the response body; `None` after the end of a complete body.
    pub fn poll_chunk(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, ExchangeError>>> {
        for _ in 0..MAX_READS_PER_TURN {
            match self.decode_body() {
                Err(e) => {
                    self.lease = None;
                    return Poll::Ready(Some(Err(e)));
                }
                Ok(Some(chunk)) => return Poll::Ready(Some(Ok(chunk))),
                Ok(None) if matches!(self.read_state, ReadState::Done) => {
                    self.finish();
                    return Poll::Ready(None);
                }
                Ok(None) => {}
            }
            if let Err(e) = self.write_request(cx) {
                self.lease = None;
                return Poll::Ready(Some(Err(e)));
            }
            match ready!(self.poll_read(cx)) {
                Ok(n) if n > 0 => {}
                Ok(_) if self.ends_with_connection() => self.read_state = ReadState::Done,
                Ok(_) | Err(_) => {
                    self.lease = None;
                    return Poll::Ready(Some(Err(ExchangeError::Truncated)));
                }
            }
        }
        cx.waker().wake_by_ref();
        Poll::Pending
    }

    /// Whether the end of the stream is the end of the body: the body is close-delimited, and the peer has ended
    /// the connection in order.
    fn ends_with_connection(&self) -> bool {
        matches!(self.read_state, ReadState::CloseDelimited)
            && !self.request_writer.has_lost_connection()
    }

    /// Abandons the exchange and returns the lease of its connection, if it is still open.
    pub fn abandon(mut self) -> Option<Lease<T>> {
        self.lease.take()
    }

    fn poll_head(&mut self, cx: &mut Context<'_>) -> Poll<HeadResult> {
        for _ in 0..MAX_READS_PER_TURN {
            match self.decode_head()? {
                Some(head) if !self.expected_id.matches(&head) => {
                    self.skip_stale_response(&head)?;
                    continue;
                }
                Some(head) => return Poll::Ready(Ok(head)),
                None => {}
            }
            self.write_request(cx)?;
            match ready!(self.poll_read(cx)) {
                Ok(n) if n > 0 => {}
                Ok(_) | Err(_) => return Poll::Ready(Err(ExchangeError::Closed)),
            }
        }
        cx.waker().wake_by_ref();
        Poll::Pending
    }

    /// Continues after the head of a response to an earlier request.
    fn skip_stale_response(&mut self, head: &ResponseHead) -> Result<(), ExchangeError> {
        self.read_state = match (
            head.framing,
            std::mem::replace(&mut self.read_state, ReadState::Done),
        ) {
            (BodyFraming::None | BodyFraming::Length(0), _) => ReadState::Head(client_codec()),
            (BodyFraming::CloseDelimited, _) => return Err(ExchangeError::Closed),
            (_, ReadState::Head(codec)) => ReadState::StaleBody(codec.into_payload_codec()),
            (_, read_state) => read_state,
        };
        Ok(())
    }

    /// Discards the body of a response to an earlier request. Returns whether its end was reached.
    fn drain_stale_body(&mut self) -> Result<bool, ExchangeError> {
        let (ReadState::StaleBody(codec), Some(connection)) = (
            &mut self.read_state,
            self.lease.as_mut().and_then(Lease::connection),
        ) else {
            return Ok(true);
        };
        loop {
            match codec.decode(&mut connection.buf) {
                Ok(Some(Some(_))) => {}
                Ok(Some(None)) => {
                    self.read_state = ReadState::Head(client_codec());
                    return Ok(true);
                }
                Ok(None) => return Ok(false),
                Err(_) => return Err(ExchangeError::Malformed),
            }
        }
    }

    /// Writes as much of the request as the connection accepts. A failed write is not an error yet:
    /// the peer may have responded early and closed the connection.
    fn write_request(&mut self, cx: &mut Context<'_>) -> Result<(), ExchangeError> {
        let connection = self.lease.as_mut().and_then(Lease::connection);
        match connection {
            Some(connection) if !self.write_failed && !self.request_writer.is_finished() => {
                match self.request_writer.poll_write(&mut connection.stream, cx) {
                    Poll::Ready(Err(ExchangeError::Closed)) => {
                        self.write_failed = true;
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
        // The reserved space is small until the head arrives, so that idle connections use little
        // memory.
        buf.reserve(match self.read_state {
            ReadState::Head(_) => HEAD_READ_BYTES,
            ReadState::StaleBody(_)
            | ReadState::Body(_)
            | ReadState::CloseDelimited
            | ReadState::Done => BODY_READ_BYTES,
        });
        tokio_util::io::poll_read_buf(Pin::new(stream), cx, buf)
    }

    /// Decodes the response head from the buffer. Informational (1xx) responses are skipped.
    fn decode_head(&mut self) -> Result<Option<ResponseHead>, ExchangeError> {
        if !self.drain_stale_body()? {
            return Ok(None);
        }
        let close_delimited = self.accepts_close_delimited;
        let ReadState::Head(codec) = &mut self.read_state else {
            return Err(ExchangeError::Malformed);
        };
        let Some(connection) = self.lease.as_mut().and_then(Lease::connection) else {
            return Err(ExchangeError::Closed);
        };
        let buf = &mut connection.buf;
        loop {
            check_head(buf)?;
            match codec.decode(buf) {
                Ok(Some(head)) if head.status == StatusCode::SWITCHING_PROTOCOLS => {
                    return Err(ExchangeError::Malformed);
                }
                Ok(Some(head)) if head.status.is_informational() => *codec = client_codec(),
                Ok(Some(head)) => {
                    return ResponseHead::validate(&head, &self.method, close_delimited).map(Some);
                }
                Ok(None) if buf.len() < MAX_HEAD_BYTES => return Ok(None),
                Ok(None) | Err(_) => return Err(ExchangeError::Malformed),
            }
        }
    }

    /// Decodes the next chunk of the body from the buffer; `None` if there is none yet.
    fn decode_body(&mut self) -> Result<Option<Bytes>, ExchangeError> {
        let connection = self.lease.as_mut().and_then(Lease::connection);
        let (codec, connection) = match (&mut self.read_state, connection) {
            (ReadState::Body(codec), Some(connection)) => (codec, connection),
            (ReadState::CloseDelimited, Some(connection)) if !connection.buf.is_empty() => {
                return Ok(Some(connection.buf.split().freeze()));
            }
            _ => return Ok(None),
        };
        match codec.decode(&mut connection.buf) {
            Ok(Some(Some(chunk))) => Ok(Some(chunk)),
            Ok(Some(None)) => {
                self.read_state = ReadState::Done;
                Ok(None)
            }
            Ok(None) => Ok(None),
            Err(_) => Err(ExchangeError::Malformed),
        }
    }

    /// Returns the connection to the pool if it can carry another request, and closes it otherwise.
    fn finish(&mut self) {
        if let Some(mut lease) = self.lease.take() {
            let clean = lease.connection().is_some_and(|c| c.buf.is_empty());
            let is_reusable = clean && self.keep_alive && self.request_writer.is_finished();
            match self.keeps_connection {
                _ if !is_reusable => {}
                true => self.lease = Some(lease),
                false => lease.release(),
            }
        }
    }
}

/// The response head, or the error that occurred before it was complete.
pub type HeadResult = Result<ResponseHead, ExchangeError>;
