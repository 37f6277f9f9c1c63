//! Reading of requests from callers and from other entries.

use crate::client::{BodyError, BodyFraming, BodyStream};
use crate::headers::{self, MAX_HEADER_BYTES};
use crate::outbound_request::{OutboundBody, OutboundRequest};
use crate::request_error::RequestError;
use actix_web::HttpRequest;
use actix_web::error::PayloadError;
use actix_web::http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use actix_web::web::Payload;
use bytes::{Bytes, BytesMut};
use futures::StreamExt;
use mangospindle_client::total_header_bytes;
use mangospindle_model::ErrorKind;

/// Rejects a request whose path and headers exceed [`MAX_HEADER_BYTES`].
pub(crate) fn check_header_size(req: &HttpRequest) -> Result<(), RequestError> {
    let uri = req.uri().path_and_query().map_or(0, |p| p.as_str().len());
    match total_header_bytes(req.headers()) + uri > MAX_HEADER_BYTES {
        true => Err(RequestError::new(
            ErrorKind::HeadersTooLarge,
            format!("the limit is {MAX_HEADER_BYTES} bytes with the path"),
        )),
        false => Ok(()),
    }
}

/// Builds the request to forward. `prefix` is removed from the start of its path.
pub(crate) fn build_outbound(req: &HttpRequest, prefix: &str, payload: Payload) -> OutboundRequest {
    let path = req.uri().path_and_query().map_or("/", |p| p.as_str());
    let path = path.strip_prefix(prefix).unwrap_or(path);
    let path = match path.starts_with('/') {
        true => path.to_string(),
        false => format!("/{path}"),
    };
    OutboundRequest {
        method: req.method().clone(),
        path,
        headers: headers::end_to_end(req.headers()),
        body: match body_framing(req) {
            BodyFraming::None => OutboundBody::None,
            // Some clients send `Content-Length: 0` with reads. An empty body can be sent again.
            BodyFraming::Length(0) => OutboundBody::Bytes(Bytes::new()),
            framing => OutboundBody::Stream(framing, body_stream(payload)),
        },
    }
}

/// Reads a whole body of at most `limit` bytes into memory.
pub(crate) async fn buffer_body(body: OutboundBody, limit: usize) -> Result<Bytes, RequestError> {
    let (framing, mut stream) = match body {
        OutboundBody::Stream(framing, stream) => (framing, stream),
        OutboundBody::Bytes(bytes) => return Ok(bytes),
        OutboundBody::None | OutboundBody::Consumed => return Ok(Bytes::new()),
    };
    let too_large =
        || RequestError::new(ErrorKind::BadRequest, format!("the limit is {limit} bytes"));
    if matches!(framing, BodyFraming::Length(n) if n > limit as u64) {
        return Err(too_large());
    }
    let mut bytes = BytesMut::new();
    while let Some(chunk) = stream.next().await {
        match chunk {
            Ok(chunk) => bytes.extend_from_slice(&chunk),
            // Nothing has been forwarded, so the request did not run.
            Err(e) => return Err(RequestError::new(ErrorKind::BadRequest, body_error(e))),
        }
        if bytes.len() > limit {
            return Err(too_large());
        }
    }
    match framing {
        BodyFraming::Length(n) if n != bytes.len() as u64 => Err(RequestError::new(
            ErrorKind::BadRequest,
            body_error(BodyError::LengthMismatch),
        )),
        _ => Ok(bytes.freeze()),
    }
}

fn body_error(e: BodyError) -> &'static str {
    match e {
        BodyError::Incomplete => "the body ended early",
        BodyError::LengthMismatch => "the body has another length than declared",
    }
}

fn body_framing(req: &HttpRequest) -> BodyFraming {
    let length = headers::text(req.headers(), CONTENT_LENGTH.as_str());
    match length.and_then(|v| v.parse().ok()) {
        Some(n) => BodyFraming::Length(n),
        None if req.headers().contains_key(TRANSFER_ENCODING) => BodyFraming::Chunked,
        None => BodyFraming::None,
    }
}

fn body_stream(payload: Payload) -> BodyStream {
    let convert = |chunk: Result<Bytes, PayloadError>| chunk.map_err(|_| BodyError::Incomplete);
    Box::pin(payload.map(convert))
}
