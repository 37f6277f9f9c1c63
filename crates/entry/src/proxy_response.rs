use crate::client::{BodyFraming, ExchangeError};
use crate::headers;
use actix_web::body::{BodyStream, BoxBody, SizedStream};
use actix_web::http::StatusCode;
use actix_web::http::header::HeaderMap;
use actix_web::{HttpResponse, HttpResponseBuilder};
use bytes::Bytes;
use futures::Stream;
use std::pin::Pin;

/// Body chunks of a response. An error means that the body is incomplete.
pub(crate) type ResponseStream = Pin<Box<dyn Stream<Item = Result<Bytes, ExchangeError>>>>;

/// A response that is being forwarded to the caller.
pub(crate) struct ProxyResponse {
    pub(crate) status: StatusCode,
    /// End-to-end headers.
    pub(crate) headers: HeaderMap,
    pub(crate) framing: BodyFraming,
    /// `Content-Length` of a response without a body, such as the response to a `HEAD` request.
    pub(crate) declared_length: Option<u64>,
    pub(crate) body: ResponseStream,
}

impl ProxyResponse {
    /// Converts this into the response to the caller. If the body stream ends with an error, the
    /// connection to the caller is closed before the end of the response.
    pub(crate) fn into_response(self) -> HttpResponse {
        let mut response = HttpResponseBuilder::new(self.status);
        for (name, value) in self.headers {
            response.append_header((name, value));
        }
        let body = match (self.framing, self.declared_length) {
            (BodyFraming::Length(n), _) => BoxBody::new(SizedStream::new(n, self.body)),
            (BodyFraming::Chunked | BodyFraming::CloseDelimited, _) => {
                BoxBody::new(BodyStream::new(self.body))
            }
            // Sends the `Content-Length` that a `GET` response would have.
            (BodyFraming::None, Some(n)) => BoxBody::new(SizedStream::new(n, self.body)),
            (BodyFraming::None, None) => BoxBody::new(()),
        };
        response.body(body)
    }

    /// Returns the value of a header if it is visible ASCII.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        headers::text(&self.headers, name)
    }
}
