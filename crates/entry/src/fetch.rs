//! Short requests of this entry's own: health checks, probes and lists.

use crate::client::{BodyFraming, Exchange, Lease, RequestHead, RequestWriter};
use crate::shared::Shared;
use actix_web::http::Method;
use actix_web::http::header::HeaderMap;
use bytes::{Bytes, BytesMut};
use std::future::poll_fn;
use std::net::SocketAddr;

/// Sends `GET` on a connection and reads the whole answer; `None` without a good answer of at most
/// `limit` bytes.
pub(crate) async fn get(
    shared: &Shared,
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
    let upload = RequestWriter::new(head, &address.to_string(), BodyFraming::None, None).ok()?;
    let mut exchange = Exchange::new(lease, Method::GET, upload);
    let answer = exchange.send_request(&*shared.clock).await.ok()?;
    let mut body = BytesMut::new();
    while let Some(chunk) = poll_fn(|cx| exchange.poll_chunk(cx)).await {
        body.extend_from_slice(&chunk.ok()?);
        if body.len() > limit {
            return None;
        }
    }
    answer.status.is_success().then(|| body.freeze())
}
