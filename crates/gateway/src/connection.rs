//! One connection of a caller.

use crate::forward::forward;
use crate::gateway::{Gateway, Phase};
use crate::inbound::{Decoded, Inbound, InboundReader};
use crate::reply::Reply;
use crate::writer::{write_all, write_reply};
use bytes::BytesMut;
use futures::StreamExt;
use futures::future::LocalBoxFuture;
use futures::stream::FuturesOrdered;
use mangospindle_model::ErrorKind;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::time::{Instant, sleep_until};

/// Requests of one connection that are served at the same time.
const MAX_PIPELINED: usize = 16;

/// Room for reads, in bytes.
const READ_BYTES: usize = 4 * 1024;

/// A connection that stays idle for longer than the limit by this factor is closed. Callers that
/// keep to the limit never meet the close.
const IDLE_FACTOR: f64 = 1.3;

/// `Retry-After` of an entry that is about to exit: another entry serves the caller at once.
const STOPPING_RETRY: Duration = Duration::from_millis(1);

/// Longest wait for the caller to close its side after the last answer.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(500);

/// Counts a request as in progress until it is dropped.
struct InProgress(Rc<Gateway>);

impl InProgress {
    fn new(gateway: &Rc<Gateway>) -> Self {
        gateway.in_progress.set(gateway.in_progress.get() + 1);
        InProgress(Rc::clone(gateway))
    }
}

impl Drop for InProgress {
    fn drop(&mut self) {
        self.0.in_progress.set(self.0.in_progress.get() - 1);
    }
}

type Served = (Reply, Option<InProgress>);

/// Serves a connection until it ends.
pub(crate) async fn serve_connection(gateway: Rc<Gateway>, mut stream: TcpStream) {
    gateway.metrics.callers.inc();
    if let Err(e) = stream.set_nodelay(true) {
        log::debug!("cannot set TCP_NODELAY: {e}");
    }
    let (read, write) = stream.split();
    let mut connection = CallerConnection::new(Rc::clone(&gateway), read, write);
    // The caller has gone, or has seen the reason in its answer.
    if let Err(e) = connection.run().await {
        log::debug!("connection of a caller ended: {e}");
    }
    gateway.metrics.callers.dec();
}

struct CallerConnection<'a> {
    gateway: Rc<Gateway>,
    read: ReadHalf<'a>,
    write: WriteHalf<'a>,
    reader: InboundReader,
    buf: BytesMut,
    /// Answers in the order of their requests.
    answers: FuturesOrdered<LocalBoxFuture<'static, Served>>,
    /// No further request is read; the connection ends behind the last answer.
    closing: bool,
    last_active: Instant,
}

impl<'a> CallerConnection<'a> {
    fn new(gateway: Rc<Gateway>, read: ReadHalf<'a>, write: WriteHalf<'a>) -> Self {
        CallerConnection {
            gateway,
            read,
            write,
            reader: InboundReader::new(),
            buf: BytesMut::new(),
            answers: FuturesOrdered::new(),
            closing: false,
            last_active: Instant::now(),
        }
    }

    async fn run(&mut self) -> io::Result<()> {
        loop {
            if self.closing && self.answers.is_empty() {
                return self.close().await;
            }
            let reads = self.answers.len() < MAX_PIPELINED;
            let idle_deadline = self.idle_deadline();
            let idle = self.answers.is_empty();
            self.buf.reserve(READ_BYTES);
            tokio::select! {
                biased;
                Some(served) = self.answers.next(), if !idle => {
                    self.answer(served).await?;
                }
                // Also notices that a caller has gone whose requests are in progress.
                read = self.read.read_buf(&mut self.buf), if reads => {
                    if read? == 0 {
                        return Ok(());
                    }
                    self.last_active = Instant::now();
                    match self.closing {
                        // Not read as requests; the caller sends them again elsewhere.
                        true => self.buf.clear(),
                        false => self.take_requests().await?,
                    }
                }
                () = sleep_until(idle_deadline), if idle => {
                    return self.time_out().await;
                }
            }
        }
    }

    /// When a connection without requests in progress is closed.
    fn idle_deadline(&self) -> Instant {
        let limits = self.gateway.routes().limits;
        let partial = self.reader.is_partial() || !self.buf.is_empty();
        match partial {
            true => self.last_active + limits.header_timeout,
            false => self.last_active + limits.idle_timeout.mul_f64(IDLE_FACTOR),
        }
    }

    /// Starts all requests that were read whole.
    async fn take_requests(&mut self) -> io::Result<()> {
        let limits = self.gateway.routes().limits;
        while !self.closing {
            match self.reader.decode(&mut self.buf, &limits) {
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

    fn start(&mut self, inbound: Inbound) {
        self.closing = inbound.closes;
        if *self.gateway.phase.borrow() == Phase::Finishing {
            let wait = Some(STOPPING_RETRY);
            let reply = Reply::error(ErrorKind::Draining, "the entry is stopping", wait);
            self.closing = true;
            self.answers
                .push_back(Box::pin(std::future::ready((reply, None))));
            return;
        }
        let gateway = Rc::clone(&self.gateway);
        let count = InProgress::new(&gateway);
        let arrived = gateway.now();
        self.answers.push_back(Box::pin(async move {
            let reply = forward(gateway, inbound, arrived).await;
            (reply, Some(count))
        }));
    }

    /// Answers bytes that are not a request, and reads no further.
    fn reject(&mut self, kind: ErrorKind) {
        self.closing = true;
        let reply = Reply::error(kind, "", None);
        self.answers
            .push_back(Box::pin(std::future::ready((reply, None))));
    }

    async fn answer(&mut self, (mut reply, _count): Served) -> io::Result<()> {
        let last = self.answers.is_empty();
        let leaving = *self.gateway.phase.borrow() != Phase::Serving;
        let between = last && self.buf.is_empty() && !self.reader.is_partial();
        if leaving && between {
            // The caller goes elsewhere without losing a request.
            self.closing = true;
        }
        reply.closes = self.closing && last;
        let now = self.gateway.now();
        write_reply(&mut self.write, reply, now).await?;
        self.last_active = Instant::now();
        Ok(())
    }

    async fn time_out(&mut self) -> io::Result<()> {
        if self.reader.is_partial() || !self.buf.is_empty() {
            let mut reply = Reply::error(ErrorKind::RequestTimeout, "", None);
            reply.closes = true;
            write_reply(&mut self.write, reply, self.gateway.now()).await?;
        }
        self.close().await
    }

    /// Closes the sending side and waits for the caller to close its own, so that an answer that is
    /// on its way is not lost to a reset.
    async fn close(&mut self) -> io::Result<()> {
        self.write.shutdown().await?;
        let mut rest = [0_u8; 1024];
        let drained = async { while matches!(self.read.read(&mut rest).await, Ok(n) if n > 0) {} };
        // A caller that keeps its side open is cut off.
        let _ = tokio::time::timeout(CLOSE_TIMEOUT, drained).await;
        Ok(())
    }
}
