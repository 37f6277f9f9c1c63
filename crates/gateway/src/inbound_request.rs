use actix_http::h1::{Codec, Message};
use actix_http::{KeepAlive, Request, ServiceConfig};
use actix_web::http::header::{EXPECT, HOST, HeaderMap};
use actix_web::http::{Method, Version};
use bytes::{Bytes, BytesMut};
use mangospindle_client::total_header_bytes;
use mangospindle_model::{ErrorKind, RequestLimits};
use std::time::Duration;
use tokio_util::codec::Decoder;

thread_local! {
    // Each `ServiceConfig` spawns a task that updates the cached date, so one is shared per thread.
    static CONFIG: ServiceConfig = ServiceConfig::new(
        KeepAlive::Os,
        Duration::ZERO,
        Duration::ZERO,
        false,
        None,
    );
}

/// A caller's request, read in full.
#[derive(Clone, Debug)]
pub(crate) struct InboundRequest {
    pub(crate) method: Method,
    /// Path and query.
    pub(crate) target: String,
    /// Host, possibly with a port.
    pub(crate) host: String,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// Whether the caller asked to close the connection after the response.
    pub(crate) closes_connection: bool,
}

impl InboundRequest {
    /// The path without the query.
    pub(crate) fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// The host without its port.
    pub(crate) fn host_name(&self) -> &str {
        self.host.split(':').next().unwrap_or_default()
    }
}

/// Decodes requests from the bytes of a connection.
pub(crate) struct RequestReader {
    codec: Codec,
    /// The request whose body is being read.
    partial: Option<(InboundRequest, BytesMut)>,
    /// Number of heads and pieces of bodies that were decoded.
    decoded: u64,
    /// Bytes of chunk sizes, extensions and trailers since the last piece of a body.
    framing_bytes: u64,
}

/// Result of decoding the bytes of a connection.
pub(crate) enum Decoded {
    /// A complete request.
    Request(Box<InboundRequest>),
    /// The caller expects `100 Continue` before it sends the body.
    Continue,
    /// More bytes are needed.
    Incomplete,
}

impl RequestReader {
    pub(crate) fn new() -> Self {
        RequestReader {
            codec: Codec::new(CONFIG.with(ServiceConfig::clone)),
            partial: None,
            decoded: 0,
            framing_bytes: 0,
        }
    }

    /// Number of heads and pieces of bodies that were decoded. A caller that sends bytes without
    /// raising it does not make progress.
    pub(crate) fn progress(&self) -> u64 {
        self.decoded
    }

    /// Whether the body of a request has been read in part.
    pub(crate) fn is_partial(&self) -> bool {
        self.partial.is_some()
    }

    /// Decodes the next request. No further requests can be decoded after an error.
    pub(crate) fn decode(
        &mut self,
        buf: &mut BytesMut,
        limits: &RequestLimits,
    ) -> Result<Decoded, ErrorKind> {
        loop {
            let available = buf.len();
            let message = match self.codec.decode(buf) {
                Ok(Some(message)) => {
                    self.decoded += 1;
                    self.framing_bytes = 0;
                    message
                }
                Ok(None)
                    if self.partial.is_none() && buf.len() as u64 > limits.max_header_bytes =>
                {
                    return Err(ErrorKind::HeadersTooLarge);
                }
                Ok(None) => {
                    self.framing_bytes += (available - buf.len()) as u64;
                    if self.framing_bytes > limits.max_header_bytes {
                        return Err(ErrorKind::BodyTooLarge);
                    }
                    return Ok(Decoded::Incomplete);
                }
                Err(actix_http::error::ParseError::TooLarge) => {
                    return Err(ErrorKind::HeadersTooLarge);
                }
                Err(_) => return Err(ErrorKind::BadRequest),
            };
            match (message, self.partial.take()) {
                (Message::Item(request), _) => {
                    let inbound = convert_request(&request, limits)?;
                    let expects_continue = inbound.headers.contains_key(EXPECT);
                    if !has_body(&self.codec) {
                        return Ok(Decoded::Request(Box::new(inbound)));
                    }
                    self.partial = Some((inbound, BytesMut::new()));
                    if expects_continue && buf.is_empty() {
                        return Ok(Decoded::Continue);
                    }
                }
                (Message::Chunk(Some(chunk)), Some((inbound, mut body))) => {
                    body.extend_from_slice(&chunk);
                    if body.len() as u64 > limits.max_body_bytes {
                        return Err(ErrorKind::BodyTooLarge);
                    }
                    self.partial = Some((inbound, body));
                }
                (Message::Chunk(None), Some((mut inbound, body))) => {
                    inbound.body = body.freeze();
                    return Ok(Decoded::Request(Box::new(inbound)));
                }
                (Message::Chunk(_), None) => return Err(ErrorKind::BadRequest),
            }
        }
    }
}

/// Whether the request that was decoded last has a body.
fn has_body(codec: &Codec) -> bool {
    !matches!(codec.message_type(), actix_http::h1::MessageType::None)
}

/// Converts a decoded head, after a check of its size.
fn convert_request(request: &Request, limits: &RequestLimits) -> Result<InboundRequest, ErrorKind> {
    let head = request.head();
    let target = head.uri.path_and_query().map_or("/", |p| p.as_str());
    if (total_header_bytes(&head.headers) + target.len()) as u64 > limits.max_header_bytes {
        return Err(ErrorKind::HeadersTooLarge);
    }
    let header = head.headers.get(HOST).and_then(|v| v.to_str().ok());
    let host = header.or_else(|| head.uri.host()).unwrap_or_default();
    Ok(InboundRequest {
        method: head.method.clone(),
        target: target.to_string(),
        host: host.to_string(),
        closes_connection: head.version != Version::HTTP_11
            || head.connection_type() == actix_http::ConnectionType::Close,
        headers: head.headers.clone(),
        body: Bytes::new(),
    })
}
