use crate::client::{BodyFraming, BodyStream};
use actix_web::http::Method;
use actix_web::http::header::HeaderMap;
use bytes::Bytes;
use futures::{StreamExt, stream};

/// A request to forward.
pub(crate) struct OutboundRequest {
    pub(crate) method: Method,
    /// Path and query to send.
    pub(crate) path: String,
    /// End-to-end headers.
    pub(crate) headers: HeaderMap,
    pub(crate) body: OutboundBody,
}

/// The body of a request to forward.
pub(crate) enum OutboundBody {
    /// No body.
    None,
    /// A body in memory, which can be sent again.
    Bytes(Bytes),
    /// A body that is read from the caller while it is sent.
    Stream(BodyFraming, BodyStream),
    /// The body was consumed by an earlier attempt.
    Consumed,
}

impl OutboundRequest {
    /// Returns the body for an attempt, or `None` if an earlier attempt has consumed it.
    pub(crate) fn take_body(&mut self) -> Option<(BodyFraming, Option<BodyStream>)> {
        match &self.body {
            OutboundBody::None => Some((BodyFraming::None, None)),
            OutboundBody::Bytes(bytes) => {
                let framing = BodyFraming::Length(bytes.len() as u64);
                let bytes = bytes.clone();
                Some((framing, Some(stream::iter([Ok(bytes)]).boxed_local())))
            }
            OutboundBody::Stream(..) => {
                match std::mem::replace(&mut self.body, OutboundBody::Consumed) {
                    OutboundBody::Stream(framing, body) => Some((framing, Some(body))),
                    _ => None,
                }
            }
            OutboundBody::Consumed => None,
        }
    }

    /// Returns a copy for another attempt, or `None` if the body cannot be sent twice.
    pub(crate) fn try_clone(&self) -> Option<OutboundRequest> {
        let body = match &self.body {
            OutboundBody::None => OutboundBody::None,
            OutboundBody::Bytes(bytes) => OutboundBody::Bytes(bytes.clone()),
            OutboundBody::Stream(..) | OutboundBody::Consumed => return None,
        };
        Some(OutboundRequest {
            method: self.method.clone(),
            path: self.path.clone(),
            headers: self.headers.clone(),
            body,
        })
    }
}
