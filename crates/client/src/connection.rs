use bytes::BytesMut;
use futures::FutureExt;
use socket2::SockRef;
use std::io;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::Interest;
use tokio::net::TcpStream;

/// An open connection with its read buffer.
#[derive(Debug)]
pub struct Connection {
    /// The TCP stream.
    pub stream: TcpStream,
    /// Bytes that were read but not consumed yet.
    pub buf: BytesMut,
    /// When the peer last responded or accepted the connection, on the local clock.
    pub validated_at: Duration,
    /// When the connection last carried a caller's request, on the local clock.
    pub last_used_at: Duration,
    /// When the idle connection expires, on the local clock. Set if the peer announced an idle
    /// timeout.
    pub expires_at: Option<Duration>,
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
            validated_at: now,
            last_used_at: now,
            expires_at: None,
        })
    }

    /// Whether something has happened on an idle connection since the last call that returned `false`.
    /// Costs a system call only if the runtime has seen an event.
    pub fn has_event(&self) -> bool {
        if self.stream.readable().now_or_never().is_none() {
            return !self.buf.is_empty();
        }
        let peeked = self.stream.try_io(Interest::READABLE, || {
            let mut byte = [MaybeUninit::<u8>::uninit(); 1];
            SockRef::from(&self.stream).peek(&mut byte)
        });
        !self.buf.is_empty() || !matches!(peeked, Err(e) if e.kind() == io::ErrorKind::WouldBlock)
    }

    /// Whether the peer has closed the connection.
    pub fn is_closed_by_peer(&self) -> bool {
        let mut byte = [MaybeUninit::<u8>::uninit(); 1];
        match SockRef::from(&self.stream).peek(&mut byte) {
            Ok(n) => n == 0,
            Err(e) => e.kind() != io::ErrorKind::WouldBlock,
        }
    }

    /// Whether the peer has neither closed the connection nor sent unsolicited bytes, such as the
    /// rest of a late response.
    pub fn is_reusable(&self) -> bool {
        // Peeks at the socket directly, because the readiness cached by tokio can be out of date.
        let mut byte = [MaybeUninit::<u8>::uninit(); 1];
        let peek_result = SockRef::from(&self.stream).peek(&mut byte);
        self.buf.is_empty()
            && matches!(peek_result, Err(e) if e.kind() == io::ErrorKind::WouldBlock)
    }
}
