use bytes::BytesMut;
use socket2::SockRef;
use std::io;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;

/// An open connection and the bytes that were read from it but not used.
#[derive(Debug)]
pub struct Connection {
    /// The connection.
    pub stream: TcpStream,
    /// Bytes that were read but not used.
    pub buf: BytesMut,
    /// When the other side last answered, on the local clock.
    pub validated_at: Duration,
    /// When the connection last carried a request of a caller, on the local clock.
    pub last_used_at: Duration,
    /// When the other side may close the idle connection, if it has said so.
    pub expires_at: Option<Duration>,
}

impl Connection {
    /// Opens a connection. `now` is the time before the call, so that the handshake proves that
    /// the other side was reachable at that time or later.
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

    /// Whether the other side has neither closed the connection nor sent anything unasked, such as
    /// the rest of a late answer.
    pub fn is_reusable(&self) -> bool {
        // Asks the socket itself: the readiness that tokio holds can lag behind.
        let mut byte = [MaybeUninit::<u8>::uninit(); 1];
        let peeked = SockRef::from(&self.stream).peek(&mut byte);
        self.buf.is_empty() && matches!(peeked, Err(e) if e.kind() == io::ErrorKind::WouldBlock)
    }
}
