use bytes::BytesMut;
use futures::FutureExt;
use socket2::SockRef;
use std::io;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::Interest;
use tokio::net::TcpStream;

/// Shortest idle timeout that peers are assumed to have if they announce none.
const MIN_IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// An open connection with its read buffer.
#[derive(Debug)]
pub struct Connection {
    /// The TCP stream.
    pub stream: TcpStream,
    /// Bytes that were read but not consumed yet.
    pub buf: BytesMut,
    /// Upper bound of when the peer accepted the connection, on the local clock.
    pub opened_at: Duration,
    /// Whether the peer process is known to be past its cold start.
    pub peer_is_warm: bool,
    /// When the peer last responded or accepted the connection, on the local clock.
    pub validated_at: Duration,
    /// When the connection last carried a caller's request, on the local clock.
    pub last_used_at: Duration,
    /// When the idle connection expires, on the local clock. Set if the peer announced an idle
    /// timeout.
    pub expires_at: Option<Duration>,
    /// Whether the last response had the id of its request; also true before the first response.
    pub last_response_identified: bool,
}

impl Connection {
    /// Opens a connection. `now` is the time before the call: the handshake validates that the peer
    /// was reachable at that time or later.
    ///
    /// # Errors
    ///
    /// Fails if the peer cannot be reached or does not accept the connection within `timeout`.
    pub async fn open(address: SocketAddr, now: Duration, timeout: Duration) -> io::Result<Self> {
        let stream = tokio::time::timeout(timeout, TcpStream::connect(address)).await??;
        stream.set_nodelay(true)?;
        Ok(Connection {
            stream,
            buf: BytesMut::new(),
            opened_at: now + timeout,
            peer_is_warm: false,
            validated_at: now,
            last_used_at: now,
            expires_at: None,
            last_response_identified: true,
        })
    }

    /// Whether the peer has closed an idle connection or sent bytes on it. Costs a system call only if
    /// the runtime has seen an event.
    pub fn has_event(&self) -> bool {
        let seen = self.stream.readable().now_or_never().is_some();
        // A peek without a result clears the event.
        let peek = || self.stream.try_io(Interest::READABLE, || self.peek());
        !self.buf.is_empty() || (seen && !is_pending(&peek()))
    }

    /// Whether the peer has closed the connection.
    pub fn is_closed_by_peer(&self) -> bool {
        match self.peek() {
            Ok(n) => n == 0,
            pending_or_failed => !is_pending(&pending_or_failed),
        }
    }

    /// Whether the peer has closed the connection although it was used lately, so that it was not closed
    /// for being idle.
    pub fn was_closed_early(&self, now: Duration) -> bool {
        now.saturating_sub(self.last_used_at) < MIN_IDLE_TIMEOUT && self.is_closed_by_peer()
    }

    /// Whether the peer has neither closed the connection nor sent unsolicited bytes, such as the
    /// rest of a late response.
    pub fn is_reusable(&self) -> bool {
        self.buf.is_empty() && is_pending(&self.peek())
    }

    /// Peeks at the socket directly, because the readiness cached by tokio can be out of date.
    fn peek(&self) -> io::Result<usize> {
        let mut byte = [MaybeUninit::<u8>::uninit(); 1];
        SockRef::from(&self.stream).peek(&mut byte)
    }
}

/// Whether a peek found neither bytes nor the end of the connection.
fn is_pending(peeked: &io::Result<usize>) -> bool {
    matches!(peeked, Err(e) if e.kind() == io::ErrorKind::WouldBlock)
}
