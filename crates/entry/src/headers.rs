//! Header names, and which headers are forwarded.

use actix_web::http::header::{HeaderMap, HeaderName, HeaderValue};

/// Remaining time of the request in milliseconds.
pub(crate) const DEADLINE: &str = "x-deadline-ms";
/// Identifier of the request. The first entry generates one if the caller sends none.
pub(crate) const REQUEST_ID: &str = "x-request-id";
/// Whether a request that failed may have been executed.
pub(crate) const REQUEST_RUN: &str = "x-request-run";
/// Stable name of the error. Only entries set this header, so that an endpoint's response is never
/// mistaken for an error of an entry.
pub(crate) const ENTRY_ERROR: &str = "x-entry-error";
/// Region that served the request.
pub(crate) const SERVED_REGION: &str = "x-served-region";
/// Endpoint that served the request.
pub(crate) const SERVED_BY: &str = "x-served-by";
/// Home region of the client.
pub(crate) const HOME_REGION: &str = "x-home-region";
/// Name of the entry that received the request from the caller.
pub(crate) const INGRESS_ENTRY: &str = "x-ingress-entry";
/// Identifier of a slot reservation at the owner.
pub(crate) const PERMIT: &str = "x-permit";
/// Marks a response that was recorded for an earlier request with the same idempotency key.
pub(crate) const REPLAYED: &str = "x-replayed";
/// Idempotency key of an at-most-once action.
pub(crate) const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Maximum size of the path and all header names and values of a request, in bytes.
pub(crate) const MAX_HEADER_BYTES: usize = 16 * 1024;

/// Headers that each hop sets itself or that have no meaning beyond one hop.
const HOP_HEADERS: [&str; 5] = ["expect", "host", DEADLINE, PERMIT, INGRESS_ENTRY];

/// Headers that only entries set. They are dropped from requests of callers and responses of
/// endpoints.
const ENTRY_HEADERS: [&str; 6] = [
    REQUEST_RUN,
    ENTRY_ERROR,
    SERVED_REGION,
    SERVED_BY,
    HOME_REGION,
    REPLAYED,
];

/// Copies the end-to-end headers.
pub(crate) fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    mangospindle_client::end_to_end_headers(
        headers,
        &[&HOP_HEADERS[..], &ENTRY_HEADERS[..]].concat(),
    )
}

/// Sets a header. Does nothing if the value is not a valid header value.
pub(crate) fn set(headers: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(HeaderName::from_static(name), value);
    }
}

/// Returns the value of a header if it is visible ASCII.
pub(crate) fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}
