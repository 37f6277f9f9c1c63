use crate::ExchangeError;
use actix_web::http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use httparse::{EMPTY_HEADER, Response, Status};

/// Maximum number of fields of a response head. The codec has the same limit.
const MAX_FIELDS: usize = 96;

/// A response head that has been checked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CheckedHead {
    /// Whether a field tells where the body ends.
    pub delimits_body: bool,
}

/// Checks the head of a response at the start of `buf`. Returns `None` if the head is not complete yet.
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
pub fn check_head(buf: &[u8]) -> Result<Option<CheckedHead>, ExchangeError> {
    let mut fields = [EMPTY_HEADER; MAX_FIELDS];
    let mut response = Response::new(&mut fields);
    match response.parse(buf) {
        Ok(Status::Complete(_)) => Ok(Some(CheckedHead {
            delimits_body: response.headers.iter().any(|f| delimits_body(f.name)),
        })),
        Ok(Status::Partial) => Ok(None),
        Err(_) => Err(ExchangeError::Malformed),
    }
}

/// Whether a field with this name tells where the body ends.
fn delimits_body(name: &str) -> bool {
    [CONTENT_LENGTH, TRANSFER_ENCODING]
        .iter()
        .any(|n| name.eq_ignore_ascii_case(n.as_str()))
}
