//! Sends the short requests that this entry originates: health checks, probes and configuration
//! requests.

use crate::client::{BodyFraming, Exchange, ExpectedId, Lease, RequestHead, RequestWriter};
use crate::headers::{self, REQUEST_ID};
use crate::server_state::ServerState;
use actix_web::http::Method;
use actix_web::http::header::HeaderMap;
use bytes::{Bytes, BytesMut};
use std::future::poll_fn;
use std::net::SocketAddr;

/// Sends a `GET` request on a connection and reads the complete response body. Returns `None` on an
/// error, an unsuccessful status or a body of more than `max_bytes` bytes.
pub(crate) async fn get(
    shared: &ServerState,
    lease: Lease,
    address: SocketAddr,
    path: &str,
    max_bytes: usize,
) -> Option<Bytes> {
    // The connection also carries requests. Without an id, a second response to one of them could not be
    // told from the response to this one.
    let id = format!("fetch-{:016x}", rand::random::<u64>());
    let mut head = RequestHead {
        method: Method::GET,
        path: path.to_string(),
        headers: HeaderMap::new(),
    };
    headers::set(&mut head.headers, REQUEST_ID, &id);
    let writer = RequestWriter::new(head, &address.to_string(), BodyFraming::None, None).ok()?;
    let expected_id = ExpectedId::Optional(id);
    let mut exchange = Exchange::new(lease, Method::GET, writer, expected_id);
    let response = exchange.send_request(&*shared.clock).await.ok()?;
    let mut body = BytesMut::new();
    while let Some(chunk) = poll_fn(|cx| exchange.poll_chunk(cx)).await {
        body.extend_from_slice(&chunk.ok()?);
        if body.len() > max_bytes {
            return None;
        }
    }
    response.status.is_success().then(|| body.freeze())
}
