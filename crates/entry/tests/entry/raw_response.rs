use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// The response that a caller received before the connection was closed.
#[derive(Clone, Debug, Default)]
pub struct RawResponse {
    pub status: u16,
    pub head: String,
    pub body: Vec<u8>,
    /// Whether the body is complete according to its framing.
    pub complete: bool,
}

impl RawResponse {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.lines().find_map(|line| {
            let (n, value) = line.split_once(": ")?;
            n.eq_ignore_ascii_case(name).then_some(value)
        })
    }

    /// Returns the name of the error if an entry rejected the request, else an empty string.
    pub fn error(&self) -> &str {
        self.header("x-entry-error").unwrap_or("")
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Sends a request on a new connection and reads the response until the connection is closed.
pub async fn send_request(
    address: SocketAddr,
    request: &str,
    headers: &str,
    body: &[u8],
) -> RawResponse {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let length = match body.is_empty() || headers.contains("transfer-encoding") {
        true => String::new(),
        false => format!("content-length: {}\r\n", body.len()),
    };
    let head =
        format!("{request} HTTP/1.1\r\nhost: test\r\nconnection: close\r\n{headers}{length}\r\n");
    stream.write_all(head.as_bytes()).await.unwrap();
    // The entry may respond and close the connection before it has read the body.
    let _closed_early = stream.write_all(body).await;
    read_response(&mut stream, request.starts_with("HEAD")).await
}

/// Reads a response until the connection is closed.
pub async fn read_response<R>(stream: &mut R, is_head: bool) -> RawResponse
where
    R: AsyncRead + Unpin,
{
    let mut bytes = Vec::new();
    let read_all = async { while matches!(stream.read_buf(&mut bytes).await, Ok(n) if n > 0) {} };
    tokio::time::timeout(Duration::from_secs(20), read_all)
        .await
        .expect("the entry did not close the connection within 20 s");
    let Some(end) = bytes.windows(4).position(|w| w == b"\r\n\r\n") else {
        return RawResponse::default();
    };
    let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
    let mut response = RawResponse {
        status: head.split(' ').nth(1).unwrap().parse().unwrap(),
        body: bytes[end + 4..].to_vec(),
        head,
        complete: false,
    };
    response.complete = match response.header("content-length") {
        Some(n) => is_head || n.parse() == Ok(response.body.len()),
        None => is_head || response.body.ends_with(b"0\r\n\r\n") || response.status == 204,
    };
    response
}
