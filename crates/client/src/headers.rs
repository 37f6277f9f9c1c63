//! Headers that concern one connection only.

use actix_web::http::header::{CONNECTION, HeaderMap};

/// Hop-by-hop headers, and the length, which each hop sets anew.
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

/// Copies the headers that are meant for the other end, without those in `dropped`.
pub fn end_to_end_headers(headers: &HeaderMap, dropped: &[&str]) -> HeaderMap {
    let mut copy = HeaderMap::with_capacity(headers.len());
    let named: Vec<&str> = (headers.get_all(CONNECTION))
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .map(str::trim)
        .collect();
    for (name, value) in headers {
        let text = name.as_str();
        let left_out = HOP_BY_HOP.contains(&text)
            || dropped.contains(&text)
            || named.iter().any(|n| n.eq_ignore_ascii_case(text));
        if !left_out {
            copy.append(name.clone(), value.clone());
        }
    }
    copy
}

/// Sum of the lengths of all names and values.
pub fn total_header_bytes(headers: &HeaderMap) -> usize {
    let sizes = headers.iter().map(|(n, v)| n.as_str().len() + v.len());
    sizes.sum()
}
