//! Header names and rules.

use actix_web::http::header::{HeaderMap, HeaderName, HeaderValue};

/// Remaining time of the request in milliseconds.
pub(crate) const DEADLINE: &str = "x-deadline-ms";
/// Identifier of the request, made by the first entry if the caller sends none.
pub(crate) const REQUEST_ID: &str = "x-request-id";
/// Whether a request that got an error can have run.
pub(crate) const REQUEST_RUN: &str = "x-request-run";
/// Stable name of the error; only entries set it, so that an answer of an endpoint is never taken
/// for one of an entry.
pub(crate) const ENTRY_ERROR: &str = "x-entry-error";
/// Region that served the request.
pub(crate) const SERVED_REGION: &str = "x-served-region";
/// Endpoint that served the request.
pub(crate) const SERVED_BY: &str = "x-served-by";
/// Home region of the client.
pub(crate) const HOME_REGION: &str = "x-home-region";
/// Name of the entry that the caller reached.
pub(crate) const INGRESS_ENTRY: &str = "x-ingress-entry";
/// Reservation at the owner.
pub(crate) const PERMIT: &str = "x-permit";
/// Tells that an answer was stored by an earlier request with the same key.
pub(crate) const REPLAYED: &str = "x-replayed";
/// Key of an at-most-once action.
pub(crate) const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Largest sum of header names and values of a request, in bytes.
pub(crate) const MAX_HEADER_BYTES: usize = 16 * 1024;

/// Headers that each hop sets anew, or that say nothing to the other end.
const SET_BY_HOPS: [&str; 5] = ["expect", "host", DEADLINE, PERMIT, INGRESS_ENTRY];

/// Headers that only entries set; what callers and endpoints send under these names is dropped.
const SET_BY_ENTRIES: [&str; 6] = [
    REQUEST_RUN,
    ENTRY_ERROR,
    SERVED_REGION,
    SERVED_BY,
    HOME_REGION,
    REPLAYED,
];

/// Copies the headers that are meant for the other end.
pub(crate) fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    mangospindle_client::end_to_end(headers, &[&SET_BY_HOPS[..], &SET_BY_ENTRIES[..]].concat())
}

/// Sets a header. A value that is not allowed in headers is left out.
pub(crate) fn set(headers: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(HeaderName::from_static(name), value);
    }
}

/// Text of a header.
pub(crate) fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}
