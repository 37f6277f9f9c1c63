use crate::ExchangeError;
use httparse::{EMPTY_HEADER, Response, Status};

/// Maximum number of fields of a response head. The codec has the same limit.
const MAX_FIELDS: usize = 96;

/// Checks the head of a response at the start of `buf` and returns its length in bytes, or `None` if the head is
/// not complete yet.
///
/// The codec of `actix-http` accepts blanks between the name of a field and the colon. Which field such a line is
/// differs between readers, so it must be rejected before the codec uses it ([RFC 9112, section 5.1]).
///
/// [RFC 9112, section 5.1]: https://www.rfc-editor.org/rfc/rfc9112#section-5.1
///
/// # Errors
///
/// [`ExchangeError::Malformed`] if the bytes are not the start of a response, or if the name of a field is not a
/// token.
pub fn check_head(buf: &[u8]) -> Result<Option<usize>, ExchangeError> {
    let mut fields = [EMPTY_HEADER; MAX_FIELDS];
    match Response::new(&mut fields).parse(buf) {
        Ok(Status::Complete(length)) => Ok(Some(length)),
        Ok(Status::Partial) => Ok(None),
        Err(_) => Err(ExchangeError::Malformed),
    }
}
