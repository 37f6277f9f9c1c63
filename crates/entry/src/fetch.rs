//! Short requests of this entry's own: health checks, probes and lists.

use crate::client::{BodyFraming, Exchange, Lease, RequestHead, Upload};
use crate::server_state::ServerState;
use actix_web::http::Method;
use actix_web::http::header::HeaderMap;
use bytes::{Bytes, BytesMut};
use std::future::poll_fn;
use std::net::SocketAddr;

/// Sends `GET` on a connection and reads the whole answer; `None` without a good answer of at most
/// `limit` bytes.
pub(crate) async fn get(
    shared: &ServerState,
    lease: Lease,
    address: SocketAddr,
    path: &str,
    limit: usize,
) -> Option<Bytes> {
    let head = RequestHead {
        method: Method::GET,
        path: path.to_string(),
        headers: HeaderMap::new(),
    };
    let upload = Upload::new(head, &address.to_string(), BodyFraming::None, None).ok()?;
    let mut exchange = Exchange::new(lease, Method::GET, upload);
    let answer = exchange.head(&*shared.clock).await.ok()?;
    let mut body = BytesMut::new();
    while let Some(chunk) = poll_fn(|cx| exchange.poll_chunk(cx)).await {
        body.extend_from_slice(&chunk.ok()?);
        if body.len() > limit {
            return None;
        }
    }
    answer.status.is_success().then(|| body.freeze())
}
