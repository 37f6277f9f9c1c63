//! Hop-by-hop and end-to-end headers.

use actix_web::http::header::{CONNECTION, HeaderMap};

/// Hop-by-hop headers, and `Content-Length`, which each hop sets again.
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

/// Copies the end-to-end headers, without those in `dropped`.
pub fn end_to_end_headers(headers: &HeaderMap, dropped: &[&str]) -> HeaderMap {
    let mut filtered = HeaderMap::with_capacity(headers.len());
    let connection_options: Vec<&str> = (headers.get_all(CONNECTION))
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .map(str::trim)
        .collect();
    for (name, value) in headers {
        let text = name.as_str();
        let is_dropped = HOP_BY_HOP.contains(&text)
            || dropped.contains(&text)
            || connection_options
                .iter()
                .any(|n| n.eq_ignore_ascii_case(text));
        if !is_dropped {
            filtered.append(name.clone(), value.clone());
        }
    }
    filtered
}

/// Total length of all header names and values, in bytes.
pub fn total_header_bytes(headers: &HeaderMap) -> usize {
    let sizes = headers.iter().map(|(n, v)| n.as_str().len() + v.len());
    sizes.sum()
}
