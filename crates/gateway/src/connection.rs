//! Serving one caller connection.

use crate::forward::forward;
use crate::gateway::{Gateway, Phase};
use crate::inbound_request::{Decoded, InboundRequest, RequestReader};
use crate::origin::Origin;
use crate::requests_in_progress::RequestKey;
use crate::response::Response;
use crate::writer::{write_all, write_response};
use bytes::BytesMut;
use futures::StreamExt;
use futures::future::LocalBoxFuture;
use futures::stream::FuturesOrdered;
use mangospindle_model::{ErrorKind, RequestLimits};
use mangospindle_telemetry::event;
use socket2::SockRef;
use std::io;
use std::mem::MaybeUninit;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::time::{Instant, sleep_until};

/// Maximum number of pipelined requests that are served concurrently on one connection.
const MAX_PIPELINED: usize = 16;

/// Maximum number of bytes that are read ahead of the requests that are served, while the maximum
/// number of requests is in progress. Without reading ahead, the entry would not notice that the
/// caller has disconnected, and would serve its further requests later.
const MAX_READ_AHEAD_BYTES: usize = 64 * 1024;

/// Buffer space reserved for a read, in bytes.
const READ_BYTES: usize = 4 * 1024;

/// Factor by which a connection may exceed the idle timeout before it is closed. Callers that
/// respect the timeout never race with the close.
const IDLE_TIMEOUT_FACTOR: f64 = 1.3;

/// Maximum time to wait for the caller to close its side after the last response.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(500);

/// Lists a request as in progress until the guard is dropped.
struct InProgressGuard {
    gateway: Rc<Gateway>,
    key: RequestKey,
}

impl InProgressGuard {
    fn new(gateway: &Rc<Gateway>, arrived_at: Duration) -> Self {
        InProgressGuard {
            gateway: Rc::clone(gateway),
            key: gateway.in_progress.insert(arrived_at),
        }
    }
}

impl Drop for InProgressGuard {
    fn drop(&mut self) {
        self.gateway.in_progress.remove(self.key);
    }
}

/// A response and the guard of its request, if the request was counted.
type CompletedRequest = (Response, Option<InProgressGuard>);

/// Serves a connection until it is closed.
pub(crate) async fn serve_connection(gateway: Rc<Gateway>, mut stream: TcpStream, origin: Origin) {
    gateway.metrics.caller_connections.inc();
    if let Err(e) = stream.set_nodelay(true) {
        log::debug!("failed to set TCP_NODELAY: {e}");
    }
    let (read, write) = stream.split();
    let mut connection = CallerConnection::new(Rc::clone(&gateway), origin, read, write);
    if let Err(e) = connection.run().await {
        connection.log_failure(&e);
    }
    gateway.metrics.caller_connections.dec();
}

/// A connection of a caller, or of an entry that relays requests, and its requests in progress.
struct CallerConnection<'a> {
    gateway: Rc<Gateway>,
    origin: Origin,
    read: ReadHalf<'a>,
    write: WriteHalf<'a>,
    reader: RequestReader,
    buf: BytesMut,
    /// Responses in the order of their requests.
    responses: FuturesOrdered<LocalBoxFuture<'static, CompletedRequest>>,
    /// No further requests are read; the connection is closed after the last response.
    closing: bool,
    /// When the last bytes were read or the last response was written.
    last_active: Instant,
    /// When the incomplete request made progress last: its first bytes, its head or a piece of its
    /// body. Bytes of a head or of chunk framing alone are none.
    last_progress: Instant,
}

impl<'a> CallerConnection<'a> {
    fn new(gateway: Rc<Gateway>, origin: Origin, read: ReadHalf<'a>, write: WriteHalf<'a>) -> Self {
        CallerConnection {
            gateway,
            origin,
            read,
            write,
            reader: RequestReader::new(),
            buf: BytesMut::new(),
            responses: FuturesOrdered::new(),
            closing: false,
            last_active: Instant::now(),
            last_progress: Instant::now(),
        }
    }

    /// Reads requests and writes responses until the connection ends.
    async fn run(&mut self) -> io::Result<()> {
        loop {
            if self.closing && self.responses.is_empty() {
                return self.close().await;
            }
            let can_read = self.can_start() || self.buf.len() < MAX_READ_AHEAD_BYTES;
            let idle_deadline = self.idle_deadline();
            let idle = self.responses.is_empty();
            let is_new = self.buf.is_empty() && !self.reader.is_partial();
            self.buf.reserve(READ_BYTES);
            tokio::select! {
                biased;
                // Also detects that the caller has disconnected while requests are in progress. It
                // comes first, so that a request is not sent if its caller has left already.
                read = self.read.read_buf(&mut self.buf), if can_read => {
                    if read? == 0 {
                        return Ok(());
                    }
                    self.last_active = Instant::now();
                    if is_new {
                        self.last_progress = self.last_active;
                    }
                    match self.closing {
                        // Unread requests are discarded. The caller can retry them on another
                        // entry.
                        true => self.buf.clear(),
                        false => self.decode_requests().await?,
                    }
                }
                Some(completed) = self.responses.next(), if !idle => {
                    self.send_response(completed).await?;
                    self.decode_requests().await?;
                }
                () = sleep_until(idle_deadline), if idle => {
                    // A configuration that came meanwhile may allow more time.
                    let expired = self.idle_deadline() <= idle_deadline;
                    if expired && !self.has_unread_bytes() {
                        return self.handle_timeout().await;
                    }
                    // The runtime looks for the unread bytes before it continues here.
                    tokio::task::yield_now().await;
                }
            }
        }
    }

    /// Logs that the connection failed. Without a request, the caller has just disconnected.
    fn log_failure(&self, error: &io::Error) {
        let unread = self.buf.len();
        match self.responses.is_empty() && unread == 0 {
            true => log::debug!("caller connection failed: {error}"),
            false => event!(Info, "caller_connection_failed", "reason" => error,
                "in_progress" => self.responses.len(), "unread_bytes" => unread),
        }
    }

    /// Time at which a connection without requests in progress is closed.
    fn idle_deadline(&self) -> Instant {
        let limits = self.gateway.routes().limits;
        let partial = self.reader.is_partial() || !self.buf.is_empty();
        match partial {
            true => self.last_progress + limits.header_timeout,
            false => self.last_active + limits.idle_timeout.mul_f64(IDLE_TIMEOUT_FACTOR),
        }
    }

    /// Whether the caller has sent bytes that were not read yet, or has closed the connection. Asks the
    /// socket: after a pause of this process a timer can end before the runtime has looked for bytes.
    fn has_unread_bytes(&self) -> bool {
        let mut byte = [MaybeUninit::<u8>::uninit(); 1];
        let stream: &TcpStream = self.read.as_ref();
        let peeked = SockRef::from(stream).peek(&mut byte);
        !matches!(peeked, Err(e) if e.kind() == io::ErrorKind::WouldBlock)
    }

    /// Whether another request may be started now.
    fn can_start(&self) -> bool {
        self.responses.len() < MAX_PIPELINED
    }

    /// Decodes the buffered bytes and starts each complete request, up to the maximum number in
    /// progress.
    async fn decode_requests(&mut self) -> io::Result<()> {
        let limits = self.gateway.routes().limits;
        let progress = self.reader.progress();
        let decoded = self.decode_started(&limits).await;
        if self.reader.progress() != progress {
            self.last_progress = Instant::now();
        }
        decoded
    }

    async fn decode_started(&mut self, limits: &RequestLimits) -> io::Result<()> {
        while !self.closing && self.can_start() {
            match self.reader.decode(&mut self.buf, limits) {
                Ok(Decoded::Request(inbound)) => self.start(*inbound),
                Ok(Decoded::Continue) => {
                    write_all(&mut self.write, b"HTTP/1.1 100 Continue\r\n\r\n").await?;
                }
                Ok(Decoded::Incomplete) => return Ok(()),
                Err(kind) => self.reject(kind),
            }
        }
        Ok(())
    }

    /// Starts serving a request, or refuses it if the entry is stopping.
    fn start(&mut self, inbound: InboundRequest) {
        self.closing = inbound.closes_connection;
        if *self.gateway.phase.borrow() >= Phase::Finishing {
            self.closing = true;
            self.responses
                .push_back(Box::pin(std::future::ready((Response::stopping(), None))));
            return;
        }
        let gateway = Rc::clone(&self.gateway);
        let arrived_at = gateway.now();
        let guard = InProgressGuard::new(&gateway, arrived_at);
        let key = guard.key;
        let origin = self.origin;
        self.responses.push_back(Box::pin(async move {
            // After a pause of this process the caller may have left already. The runtime looks for
            // that before it continues here.
            tokio::task::yield_now().await;
            let response = forward(gateway, inbound, origin, arrived_at, key).await;
            (response, Some(guard))
        }));
    }

    /// Responds with an error to bytes that are not a valid request, and stops reading.
    fn reject(&mut self, kind: ErrorKind) {
        self.closing = true;
        let response = Response::error(kind, "", None);
        self.responses
            .push_back(Box::pin(std::future::ready((response, None))));
    }

    /// Writes a response. Closes the connection after it if the entry is stopping and no request is
    /// in flight.
    async fn send_response(&mut self, (mut response, _guard): CompletedRequest) -> io::Result<()> {
        let last = self.responses.is_empty();
        let stopping = *self.gateway.phase.borrow() != Phase::Serving;
        let between_requests = last && self.buf.is_empty() && !self.reader.is_partial();
        if stopping && between_requests {
            // No request is in flight, so the caller can reconnect elsewhere without losing one.
            self.closing = true;
        }
        response.closes_connection = self.closing && last;
        let now = self.gateway.now();
        write_response(&mut self.write, response, now).await?;
        self.last_active = Instant::now();
        Ok(())
    }

    /// Closes the connection after its timeout, with an error if a request is incomplete.
    async fn handle_timeout(&mut self) -> io::Result<()> {
        if self.reader.is_partial() || !self.buf.is_empty() {
            let mut response = Response::error(ErrorKind::RequestTimeout, "", None);
            response.closes_connection = true;
            write_response(&mut self.write, response, self.gateway.now()).await?;
        }
        self.close().await
    }

    /// Shuts down the write side and waits for the caller to close its own side. Closing at once
    /// could send a reset that destroys a response in flight.
    async fn close(&mut self) -> io::Result<()> {
        self.write.shutdown().await?;
        let mut discarded = [0_u8; 1024];
        let drained =
            async { while matches!(self.read.read(&mut discarded).await, Ok(n) if n > 0) {} };
        // If the caller keeps its side open, the connection is closed anyway.
        let _ = tokio::time::timeout(CLOSE_TIMEOUT, drained).await;
        Ok(())
    }
}
