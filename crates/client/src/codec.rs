use crate::{BodyFraming, ExchangeError, RequestHead};
use actix_http::body::BodySize;
use actix_http::h1::{ClientCodec, Message};
use actix_http::{RequestHeadType, ServiceConfig};
use actix_web::http::header::{HOST, HeaderValue};
use bytes::{Bytes, BytesMut};
use tokio_util::codec::Encoder;

thread_local! {
    // Each `ServiceConfig` spawns a task that updates the cached date, so one is shared per thread.
    static CONFIG: ServiceConfig = ServiceConfig::default();
}

/// Creates a codec, which serves one direction of one exchange.
pub fn client_codec() -> ClientCodec {
    ClientCodec::new(CONFIG.with(ServiceConfig::clone))
}

/// Encodes the head and the body of a request with the codec of `actix-http`.
pub struct RequestEncoder(ClientCodec);

impl RequestEncoder {
    /// Encodes the head of a request and appends it to `out`.
    ///
    /// # Errors
    ///
    /// [`ExchangeError::Malformed`] if the path or the host is not valid.
    pub fn encode_head(
        head: RequestHead,
        host: &str,
        framing: BodyFraming,
        out: &mut BytesMut,
    ) -> Result<Self, ExchangeError> {
        let malformed = |_| ExchangeError::Malformed;
        let mut request_head = actix_http::RequestHead::default();
        request_head.method = head.method;
        request_head.uri = head.path.parse().map_err(malformed)?;
        request_head.headers = head.headers;
        let host = HeaderValue::from_str(host).map_err(|_| ExchangeError::Malformed)?;
        request_head.headers.insert(HOST, host);
        let size = match framing {
            BodyFraming::None => BodySize::None,
            BodyFraming::Length(n) => BodySize::Sized(n),
            // A request body cannot be close-delimited, because the response still has to follow.
            BodyFraming::Chunked | BodyFraming::CloseDelimited => BodySize::Stream,
        };
        let mut codec = client_codec();
        codec
            .encode(
                Message::Item((RequestHeadType::Owned(request_head), size)),
                out,
            )
            .map_err(|_| ExchangeError::Malformed)?;
        Ok(RequestEncoder(codec))
    }

    /// Encodes a chunk of the body, or its end if `chunk` is `None`, and appends it to `out`.
    ///
    /// # Errors
    ///
    /// [`ExchangeError::Malformed`] if the codec rejects the chunk.
    pub fn encode_body(
        &mut self,
        chunk: Option<Bytes>,
        out: &mut BytesMut,
    ) -> Result<(), ExchangeError> {
        (self.0.encode(Message::Chunk(chunk), out)).map_err(|_| ExchangeError::Malformed)
    }
}
