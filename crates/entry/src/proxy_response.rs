use crate::client::{BodyFraming, ExchangeError};
use crate::headers;
use actix_web::body::{BodyStream, BoxBody, SizedStream};
use actix_web::http::StatusCode;
use actix_web::http::header::HeaderMap;
use actix_web::{HttpResponse, HttpResponseBuilder};
use bytes::Bytes;
use futures::Stream;
use std::pin::Pin;

/// The body of an answer, chunk by chunk. An error means that the answer is not complete.
pub(crate) type ResponseStream = Pin<Box<dyn Stream<Item = Result<Bytes, ExchangeError>>>>;

/// An answer on its way to the caller.
pub(crate) struct ProxyResponse {
    pub(crate) status: StatusCode,
    /// End-to-end headers.
    pub(crate) headers: HeaderMap,
    pub(crate) framing: BodyFraming,
    /// `Content-Length` of an answer without a body.
    pub(crate) declared: Option<u64>,
    pub(crate) body: ResponseStream,
}

impl ProxyResponse {
    /// Passes the answer on. If the stream ends with an error, the connection to the caller is
    /// closed before the end of the answer.
    pub(crate) fn into_response(self) -> HttpResponse {
        let mut response = HttpResponseBuilder::new(self.status);
        for (name, value) in self.headers {
            response.append_header((name, value));
        }
        let body = match (self.framing, self.declared) {
            (BodyFraming::Length(n), _) => BoxBody::new(SizedStream::new(n, self.body)),
            (BodyFraming::Chunked | BodyFraming::UntilClose, _) => {
                BoxBody::new(BodyStream::new(self.body))
            }
            // Announces the length that a `GET` would have.
            (BodyFraming::None, Some(n)) => BoxBody::new(SizedStream::new(n, self.body)),
            (BodyFraming::None, None) => BoxBody::new(()),
        };
        response.body(body)
    }

    /// Text of a header.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        headers::text(&self.headers, name)
    }
}
