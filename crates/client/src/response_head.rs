use crate::ExchangeError;
use actix_web::http::header::{CONNECTION, CONTENT_LENGTH, HeaderMap, TRANSFER_ENCODING};
use actix_web::http::{Method, StatusCode, Version};
use std::ops::RangeInclusive;
use std::time::Duration;

/// Status codes of final responses that HTTP defines. The codec also reads others, up to 999.
const FINAL_STATUS_CODES: RangeInclusive<u16> = 200..=599;

/// Longest idle timeout of a peer that is read; longer ones are taken for it. It is added to the time of
/// the clock, which must not overflow whatever a peer says.
const MAX_IDLE_TIMEOUT: Duration = Duration::from_secs(24 * 3600);

/// How the end of a body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFraming {
    /// The message has no body.
    None,
    /// The body has this many bytes.
    Length(u64),
    /// The body uses the chunked transfer coding and ends with the last chunk.
    Chunked,
    /// The body ends when the peer closes the connection.
    CloseDelimited,
}

/// The head of a response.
#[derive(Clone, Debug)]
pub struct ResponseHead {
    /// Status code.
    pub status: StatusCode,
    /// Headers as received.
    pub headers: HeaderMap,
    /// How the end of the body is determined.
    pub framing: BodyFraming,
    /// The declared `Content-Length`, also of a response without a body, such as the response to
    /// `HEAD`.
    pub content_length: Option<u64>,
    /// Whether the peer keeps the connection open.
    pub keep_alive: bool,
    /// How long the peer keeps an idle connection open, if it announces that. At most a day.
    pub idle_timeout: Option<Duration>,
}

impl ResponseHead {
    /// Validates the decoded head of a response to a request with this method.
    ///
    /// # Errors
    ///
    /// [`ExchangeError::Malformed`] if the status is not a final one, if the length or the transfer
    /// coding is not valid or ambiguous, or if the body is close-delimited and
    /// `accepts_close_delimited` is not set.
    pub fn validate(
        head: &actix_http::ResponseHead,
        method: &Method,
        accepts_close_delimited: bool,
    ) -> Result<ResponseHead, ExchangeError> {
        let status = head.status;
        let code = status.as_u16();
        if !FINAL_STATUS_CODES.contains(&code) {
            return Err(ExchangeError::Malformed);
        }
        let headers = head.headers().clone();
        let content_length = parse_content_length(&headers)?;
        let chunked = match headers.get_all(TRANSFER_ENCODING).collect::<Vec<_>>()[..] {
            [] => false,
            [v] if v.as_bytes().eq_ignore_ascii_case(b"chunked") => true,
            _ => return Err(ExchangeError::Malformed),
        };
        let has_no_body = *method == Method::HEAD || code == 204 || code == 304;
        let framing = match (content_length, chunked) {
            // The two ways to determine the end could contradict each other.
            (Some(_), true) => return Err(ExchangeError::Malformed),
            _ if has_no_body => BodyFraming::None,
            (Some(n), false) => BodyFraming::Length(n),
            (None, true) => BodyFraming::Chunked,
            // The end of a close-delimited body cannot be told apart from a connection failure.
            (None, false) if !accepts_close_delimited => return Err(ExchangeError::Malformed),
            (None, false) => BodyFraming::CloseDelimited,
        };
        let close = headers.get_all(CONNECTION).any(|v| {
            (v.to_str().unwrap_or("close").split(','))
                .any(|t| t.trim().eq_ignore_ascii_case("close"))
        });
        Ok(ResponseHead {
            status,
            idle_timeout: parse_keep_alive_timeout(&headers),
            headers,
            framing,
            content_length,
            keep_alive: head.version == Version::HTTP_11 && !close,
        })
    }
}

/// Parses the `timeout` parameter of `Keep-Alive`, which is in whole seconds.
fn parse_keep_alive_timeout(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get("keep-alive")?.to_str().ok()?;
    let value = text
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="))?;
    let timeout = value.trim().parse().ok().map(Duration::from_secs);
    timeout.map(|t| t.min(MAX_IDLE_TIMEOUT))
}

/// Parses `Content-Length`. Repeated headers are rejected even if their values agree.
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
    let length = value.to_str().ok().and_then(|v| v.parse().ok());
    length.map(Some).ok_or(ExchangeError::Malformed)
}
