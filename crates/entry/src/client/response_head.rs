use super::ExchangeError;
use actix_web::http::header::{
    CONNECTION, CONTENT_LENGTH, HeaderMap, HeaderName, HeaderValue, TRANSFER_ENCODING,
};
use actix_web::http::{Method, StatusCode};
use bytes::{Buf, BytesMut};

/// Longest head of an answer, in bytes.
const MAX_HEAD_BYTES: usize = 32 * 1024;

/// Most headers of an answer.
const MAX_HEADERS: usize = 100;

/// How the end of a body is recognized.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BodyFraming {
    /// There is no body.
    None,
    /// The body has this many bytes.
    Length(u64),
    /// The body has an end mark.
    Chunked,
}

/// The start of an answer.
#[derive(Clone, Debug)]
pub(crate) struct ResponseHead {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) framing: BodyFraming,
    /// `Content-Length` of an answer without a body, such as the answer to `HEAD`.
    pub(crate) declared: Option<u64>,
    pub(crate) keep_alive: bool,
}

impl ResponseHead {
    /// Takes a head from `buf`; `None` if more bytes are needed. Interim answers are skipped.
    pub(crate) fn decode(
        buf: &mut BytesMut,
        method: &Method,
    ) -> Result<Option<ResponseHead>, ExchangeError> {
        loop {
            let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
            let mut parsed = httparse::Response::new(&mut headers);
            let len = match parsed.parse(buf) {
                Ok(httparse::Status::Complete(len)) => len,
                Ok(httparse::Status::Partial) if buf.len() < MAX_HEAD_BYTES => return Ok(None),
                Ok(httparse::Status::Partial) | Err(_) => return Err(ExchangeError::Malformed),
            };
            let code = parsed.code.unwrap_or_default();
            if code == 101 || code < 100 {
                return Err(ExchangeError::Malformed);
            }
            if code >= 200 {
                let head = Self::from_parsed(&parsed, method)?;
                buf.advance(len);
                return Ok(Some(head));
            }
            buf.advance(len);
        }
    }

    fn from_parsed(
        parsed: &httparse::Response<'_, '_>,
        method: &Method,
    ) -> Result<ResponseHead, ExchangeError> {
        let malformed = |_| ExchangeError::Malformed;
        let code = parsed.code.unwrap_or_default();
        let mut headers = HeaderMap::with_capacity(parsed.headers.len());
        for header in parsed.headers.iter() {
            headers.append(
                HeaderName::from_bytes(header.name.as_bytes())
                    .map_err(|_| ExchangeError::Malformed)?,
                HeaderValue::from_bytes(header.value).map_err(|_| ExchangeError::Malformed)?,
            );
        }
        let status = StatusCode::from_u16(code).map_err(malformed)?;
        let declared = declared_length(&headers)?;
        let chunked = match headers.get_all(TRANSFER_ENCODING).collect::<Vec<_>>()[..] {
            [] => false,
            [v] if v.as_bytes().eq_ignore_ascii_case(b"chunked") => true,
            _ => return Err(ExchangeError::Malformed),
        };
        let bodiless = *method == Method::HEAD || code == 204 || code == 304;
        let framing = match (declared, chunked) {
            // Two ways to find the end could disagree.
            (Some(_), true) => return Err(ExchangeError::Malformed),
            _ if bodiless => BodyFraming::None,
            (Some(n), false) => BodyFraming::Length(n),
            (None, true) => BodyFraming::Chunked,
            // The end would be the end of the connection, which a failure looks like as well.
            (None, false) => return Err(ExchangeError::Malformed),
        };
        let close = headers.get_all(CONNECTION).any(|v| {
            (v.to_str().unwrap_or("close").split(','))
                .any(|t| t.trim().eq_ignore_ascii_case("close"))
        });
        Ok(ResponseHead {
            status,
            headers,
            framing,
            declared,
            keep_alive: parsed.version == Some(1) && !close,
        })
    }
}

/// The declared length; several declarations are refused even if they agree.
fn declared_length(headers: &HeaderMap) -> Result<Option<u64>, ExchangeError> {
    let mut values = headers.get_all(CONTENT_LENGTH);
    let value = match (values.next(), values.next()) {
        (None, _) => return Ok(None),
        (Some(value), None) => value,
        (Some(_), Some(_)) => return Err(ExchangeError::Malformed),
    };
    let digits = value.as_bytes();
    if digits.is_empty() || !digits.iter().all(u8::is_ascii_digit) {
        return Err(ExchangeError::Malformed);
    }
    let number = value.to_str().ok().and_then(|v| v.parse().ok());
    number.map(Some).ok_or(ExchangeError::Malformed)
}
