use crate::ExchangeError;
use actix_web::http::header::{CONNECTION, CONTENT_LENGTH, HeaderMap, TRANSFER_ENCODING};
use actix_web::http::{Method, StatusCode, Version};
use std::time::Duration;

/// How the end of a body is recognized.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFraming {
    /// There is no body.
    None,
    /// The body has this many bytes.
    Length(u64),
    /// The body has an end mark.
    Chunked,
    /// The body ends with the connection.
    CloseDelimited,
}

/// The start of an answer.
#[derive(Clone, Debug)]
pub struct ResponseHead {
    /// Status.
    pub status: StatusCode,
    /// Headers as they arrived.
    pub headers: HeaderMap,
    /// How the end of the body is recognized.
    pub framing: BodyFraming,
    /// `Content-Length` of an answer without a body, such as the answer to `HEAD`.
    pub content_length: Option<u64>,
    /// Whether the other side keeps the connection open.
    pub keep_alive: bool,
    /// How long the other side keeps the idle connection, if it says so.
    pub idle_timeout: Option<Duration>,
}

impl ResponseHead {
    /// Checks a head that was decoded from the answer to a request with this method.
    pub fn validate(
        head: &actix_http::ResponseHead,
        method: &Method,
        accepts_unframed: bool,
    ) -> Result<ResponseHead, ExchangeError> {
        let status = head.status;
        let code = status.as_u16();
        let headers = head.headers().clone();
        let content_length = parse_content_length(&headers)?;
        let chunked = match headers.get_all(TRANSFER_ENCODING).collect::<Vec<_>>()[..] {
            [] => false,
            [v] if v.as_bytes().eq_ignore_ascii_case(b"chunked") => true,
            _ => return Err(ExchangeError::Malformed),
        };
        let bodiless = *method == Method::HEAD || code == 204 || code == 304;
        let framing = match (content_length, chunked) {
            // Two ways to find the end could disagree.
            (Some(_), true) => return Err(ExchangeError::Malformed),
            _ if bodiless => BodyFraming::None,
            (Some(n), false) => BodyFraming::Length(n),
            (None, true) => BodyFraming::Chunked,
            // The end would be the end of the connection, which a failure looks like as well.
            (None, false) if !accepts_unframed => return Err(ExchangeError::Malformed),
            (None, false) => BodyFraming::CloseDelimited,
        };
        let close = headers.get_all(CONNECTION).any(|v| {
            (v.to_str().unwrap_or("close").split(','))
                .any(|t| t.trim().eq_ignore_ascii_case("close"))
        });
        Ok(ResponseHead {
            status,
            idle_timeout: idle_timeout(&headers),
            headers,
            framing,
            content_length,
            keep_alive: head.version == Version::HTTP_11 && !close,
        })
    }
}

/// The `timeout` of `Keep-Alive`, which is in whole seconds.
fn idle_timeout(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get("keep-alive")?.to_str().ok()?;
    let value = text
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="))?;
    value.trim().parse().ok().map(Duration::from_secs)
}

/// The declared length; several declarations are refused even if they agree.
fn parse_content_length(headers: &HeaderMap) -> Result<Option<u64>, ExchangeError> {
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
