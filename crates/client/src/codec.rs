use crate::{BodyFraming, ExchangeError, RequestHead};
use actix_http::body::BodySize;
use actix_http::h1::{ClientCodec, Message};
use actix_http::{RequestHeadType, ServiceConfig};
use actix_web::http::header::{HOST, HeaderValue};
use bytes::{Bytes, BytesMut};
use tokio_util::codec::Encoder;

thread_local! {
    // A configuration starts a task that keeps its date, so that each thread has only one.
    static CONFIG: ServiceConfig = ServiceConfig::default();
}

/// A codec for one direction of one exchange.
pub fn client_codec() -> ClientCodec {
    ClientCodec::new(CONFIG.with(ServiceConfig::clone))
}

/// Encodes the parts of a request with the library's codec.
pub struct RequestEncoder(ClientCodec);

impl RequestEncoder {
    /// Starts a request and appends its head to `out`.
    pub fn start(
        head: RequestHead,
        host: &str,
        framing: BodyFraming,
        out: &mut BytesMut,
    ) -> Result<Self, ExchangeError> {
        let malformed = |_| ExchangeError::Malformed;
        let mut wire = actix_http::RequestHead::default();
        wire.method = head.method;
        wire.uri = head.path.parse().map_err(malformed)?;
        wire.headers = head.headers;
        let host = HeaderValue::from_str(host).map_err(|_| ExchangeError::Malformed)?;
        wire.headers.insert(HOST, host);
        let size = match framing {
            BodyFraming::None => BodySize::None,
            BodyFraming::Length(n) => BodySize::Sized(n),
            // A request cannot end with its connection.
            BodyFraming::Chunked | BodyFraming::CloseDelimited => BodySize::Stream,
        };
        let mut codec = client_codec();
        codec
            .encode(Message::Item((RequestHeadType::Owned(wire), size)), out)
            .map_err(|_| ExchangeError::Malformed)?;
        Ok(RequestEncoder(codec))
    }

    /// Appends a piece of the body, or its end, to `out`.
    pub fn body(&mut self, chunk: Option<Bytes>, out: &mut BytesMut) -> Result<(), ExchangeError> {
        (self.0.encode(Message::Chunk(chunk), out)).map_err(|_| ExchangeError::Malformed)
    }
}
