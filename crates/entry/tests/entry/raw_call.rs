use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// What a caller got before the connection was closed.
#[derive(Clone, Debug, Default)]
pub struct Got {
    pub status: u16,
    pub head: String,
    pub body: Vec<u8>,
    /// Whether the body has reached its declared end.
    pub complete: bool,
}

impl Got {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.lines().find_map(|line| {
            let (n, value) = line.split_once(": ")?;
            n.eq_ignore_ascii_case(name).then_some(value)
        })
    }

    /// Name of the error, if an entry refused the request.
    pub fn error(&self) -> &str {
        self.header("x-entry-error").unwrap_or("")
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Sends a request whose connection ends with its answer, and reads up to the end.
pub async fn call(address: SocketAddr, request: &str, headers: &str, body: &[u8]) -> Got {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let length = match body.is_empty() || headers.contains("transfer-encoding") {
        true => String::new(),
        false => format!("content-length: {}\r\n", body.len()),
    };
    let head =
        format!("{request} HTTP/1.1\r\nhost: test\r\nconnection: close\r\n{headers}{length}\r\n");
    stream.write_all(head.as_bytes()).await.unwrap();
    // The entry may answer and close before it has read the body.
    let _early = stream.write_all(body).await;
    read(&mut stream, request.starts_with("HEAD")).await
}

/// Reads an answer until the connection is closed.
pub async fn read(stream: &mut TcpStream, is_head: bool) -> Got {
    let mut bytes = Vec::new();
    let all = async { while matches!(stream.read_buf(&mut bytes).await, Ok(n) if n > 0) {} };
    tokio::time::timeout(Duration::from_secs(20), all)
        .await
        .expect("the connection to the caller stays open");
    let Some(end) = bytes.windows(4).position(|w| w == b"\r\n\r\n") else {
        return Got::default();
    };
    let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
    let mut got = Got {
        status: head.split(' ').nth(1).unwrap().parse().unwrap(),
        body: bytes[end + 4..].to_vec(),
        head,
        complete: false,
    };
    got.complete = match got.header("content-length") {
        Some(n) => is_head || n.parse() == Ok(got.body.len()),
        None => is_head || got.body.ends_with(b"0\r\n\r\n") || got.status == 204,
    };
    got
}
