use super::BodyFraming;
use actix_web::http::Method;
use actix_web::http::header::HeaderMap;
use bytes::{BufMut, BytesMut};
use std::net::SocketAddr;

/// The start of a request to an endpoint or to another entry.
#[derive(Clone, Debug)]
pub(crate) struct RequestHead {
    pub(crate) method: Method,
    /// Path and query.
    pub(crate) path: String,
    /// Headers without `Host`, lengths and hop-by-hop headers.
    pub(crate) headers: HeaderMap,
}

impl RequestHead {
    /// Encodes the head for the wire.
    pub(crate) fn encode(&self, host: SocketAddr, framing: BodyFraming) -> BytesMut {
        let mut out = BytesMut::with_capacity(1024);
        out.put_slice(self.method.as_str().as_bytes());
        out.put_u8(b' ');
        out.put_slice(self.path.as_bytes());
        out.put_slice(b" HTTP/1.1\r\nhost: ");
        out.put_slice(host.to_string().as_bytes());
        out.put_slice(b"\r\n");
        for (name, value) in &self.headers {
            out.put_slice(name.as_str().as_bytes());
            out.put_slice(b": ");
            out.put_slice(value.as_bytes());
            out.put_slice(b"\r\n");
        }
        match framing {
            BodyFraming::None => {}
            BodyFraming::Length(n) => {
                out.put_slice(format!("content-length: {n}\r\n").as_bytes());
            }
            BodyFraming::Chunked => out.put_slice(b"transfer-encoding: chunked\r\n"),
        }
        out.put_slice(b"\r\n");
        out
    }
}
