use actix_http::h1::{Codec, Message};
use actix_http::{KeepAlive, Request, ServiceConfig};
use actix_web::http::header::{EXPECT, HOST, HeaderMap};
use actix_web::http::{Method, Version};
use bytes::{Bytes, BytesMut};
use mangospindle_client::total_bytes;
use mangospindle_model::{ErrorKind, RequestLimits};
use std::time::Duration;
use tokio_util::codec::Decoder;

thread_local! {
    // A configuration starts a task that keeps its date, so that each thread has only one.
    static CONFIG: ServiceConfig = ServiceConfig::new(
        KeepAlive::Os,
        Duration::ZERO,
        Duration::ZERO,
        false,
        None,
    );
}

/// A request that was read whole.
#[derive(Clone, Debug)]
pub(crate) struct Inbound {
    pub(crate) method: Method,
    /// Path and query.
    pub(crate) target: String,
    pub(crate) host: String,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// Whether the caller asked to close the connection behind the answer.
    pub(crate) closes: bool,
}

impl Inbound {
    /// Path without the query.
    pub(crate) fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// Host without a port.
    pub(crate) fn host_name(&self) -> &str {
        self.host.split(':').next().unwrap_or_default()
    }
}

/// Takes requests from the bytes of a connection.
pub(crate) struct InboundReader {
    codec: Codec,
    /// The request whose body is being read.
    partial: Option<(Inbound, BytesMut)>,
}

/// What the bytes of a connection hold.
pub(crate) enum Decoded {
    /// A whole request.
    Request(Box<Inbound>),
    /// The caller waits for permission to send the body.
    Continue,
    /// More bytes are needed.
    Incomplete,
}

impl InboundReader {
    pub(crate) fn new() -> Self {
        InboundReader {
            codec: Codec::new(CONFIG.with(ServiceConfig::clone)),
            partial: None,
        }
    }

    /// Whether a request has been read in part.
    pub(crate) fn is_partial(&self) -> bool {
        self.partial.is_some()
    }

    /// Takes the next request. After an error the connection cannot be read any further.
    pub(crate) fn decode(
        &mut self,
        buf: &mut BytesMut,
        limits: &RequestLimits,
    ) -> Result<Decoded, ErrorKind> {
        loop {
            let message = match self.codec.decode(buf) {
                Ok(Some(message)) => message,
                Ok(None)
                    if self.partial.is_none() && buf.len() as u64 > limits.max_header_bytes =>
                {
                    return Err(ErrorKind::HeadersTooLarge);
                }
                Ok(None) => return Ok(Decoded::Incomplete),
                Err(actix_http::error::ParseError::TooLarge) => {
                    return Err(ErrorKind::HeadersTooLarge);
                }
                Err(_) => return Err(ErrorKind::BadRequest),
            };
            match (message, self.partial.take()) {
                (Message::Item(request), _) => {
                    let inbound = inbound(&request, limits)?;
                    let waits = inbound.headers.contains_key(EXPECT);
                    if !has_body(&self.codec) {
                        return Ok(Decoded::Request(Box::new(inbound)));
                    }
                    self.partial = Some((inbound, BytesMut::new()));
                    if waits && buf.is_empty() {
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

fn has_body(codec: &Codec) -> bool {
    !matches!(codec.message_type(), actix_http::h1::MessageType::None)
}

fn inbound(request: &Request, limits: &RequestLimits) -> Result<Inbound, ErrorKind> {
    let head = request.head();
    let target = head.uri.path_and_query().map_or("/", |p| p.as_str());
    if (total_bytes(&head.headers) + target.len()) as u64 > limits.max_header_bytes {
        return Err(ErrorKind::HeadersTooLarge);
    }
    let header = head.headers.get(HOST).and_then(|v| v.to_str().ok());
    let host = header.or_else(|| head.uri.host()).unwrap_or_default();
    Ok(Inbound {
        method: head.method.clone(),
        target: target.to_string(),
        host: host.to_string(),
        closes: head.version != Version::HTTP_11
            || head.connection_type() == actix_http::ConnectionType::Close,
        headers: head.headers.clone(),
        body: Bytes::new(),
    })
}
