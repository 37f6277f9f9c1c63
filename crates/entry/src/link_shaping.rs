use crate::server_state::ServerState;
use bytes::Bytes;
use futures::{Stream, StreamExt, stream};
use mangospindle_model::RegionId;
use std::sync::Arc;
use std::time::Duration;

/// Wait before asking again when this entry has no part of the link.
const NO_LINK_WAIT: Duration = Duration::from_millis(50);

/// Sends a stream at the pace that the link to another region allows.
pub(crate) fn shape_to_link_rate<S, E>(
    shared: &Arc<ServerState>,
    to: RegionId,
    stream: S,
) -> impl Stream<Item = Result<Bytes, E>> + use<S, E>
where
    S: Stream<Item = Result<Bytes, E>> + Unpin,
{
    let state = (Arc::clone(shared), stream, Bytes::new());
    stream::unfold(state, move |(shared, mut stream, mut rest)| async move {
        if rest.is_empty() {
            match stream.next().await? {
                Ok(chunk) => rest = chunk,
                Err(e) => return Some((Err(e), (shared, stream, rest))),
            }
        }
        let bytes = reserve(&shared, to, rest.len()).await;
        let piece = rest.split_to(bytes.min(rest.len()));
        Some((Ok(piece), (shared, stream, rest)))
    })
}

/// Waits until bytes may be sent and returns how many; at least one if there are any to send.
async fn reserve(shared: &ServerState, to: RegionId, bytes: usize) -> usize {
    if bytes == 0 {
        return 0;
    }
    loop {
        let grant = shared.with_routing(|d, now| d.shaper.reserve(now, to, bytes as u64));
        match grant {
            Ok(Some(grant)) if grant.bytes > 0 => {
                if !grant.wait.is_zero() {
                    tokio::time::sleep(grant.wait).await;
                }
                return grant.bytes as usize;
            }
            Ok(Some(grant)) => tokio::time::sleep(grant.wait.max(NO_LINK_WAIT)).await,
            Ok(None) | Err(_) => tokio::time::sleep(NO_LINK_WAIT).await,
        }
    }
}
