//! Header rules.

use actix_web::http::header::{CONNECTION, HeaderMap};

/// Headers that concern one connection, and those that each hop sets anew.
const HOP_BY_HOP: [&str; 10] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
];

/// Copies the headers that are meant for the other end.
pub(crate) fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let named: Vec<String> = (headers.get_all(CONNECTION))
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .map(|v| v.trim().to_ascii_lowercase())
        .collect();
    let mut copy = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        let text = name.as_str();
        if !HOP_BY_HOP.contains(&text) && !named.iter().any(|n| n == text) {
            copy.append(name.clone(), value.clone());
        }
    }
    copy
}

/// Size of all names and values, in bytes.
pub(crate) fn total_bytes(headers: &HeaderMap) -> u64 {
    let sizes = headers.iter().map(|(n, v)| n.as_str().len() + v.len());
    sizes.sum::<usize>() as u64
}
