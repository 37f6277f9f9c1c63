use crate::server_state::ServerState;
use bytes::Bytes;
use futures::{Stream, StreamExt, stream};
use mangospindle_model::RegionId;
use std::sync::Arc;
use std::time::Duration;

/// Delay before the next request for bandwidth while this entry has no share of the link.
const NO_SHARE_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Limits a stream to the rate that the link to another region allows.
pub(crate) fn shape_to_link_rate<S, E>(
    shared: &Arc<ServerState>,
    to: RegionId,
    stream: S,
) -> impl Stream<Item = Result<Bytes, E>> + use<S, E>
where
    S: Stream<Item = Result<Bytes, E>> + Unpin,
{
    let stream_state = (Arc::clone(shared), stream, Bytes::new());
    stream::unfold(
        stream_state,
        move |(shared, mut stream, mut pending)| async move {
            if pending.is_empty() {
                match stream.next().await? {
                    Ok(chunk) => pending = chunk,
                    Err(e) => return Some((Err(e), (shared, stream, pending))),
                }
            }
            let bytes = reserve_bytes(&shared, to, pending.len()).await;
            let piece = pending.split_to(bytes.min(pending.len()));
            Some((Ok(piece), (shared, stream, pending)))
        },
    )
}

/// Waits until bytes may be sent and returns how many. At least one, unless `bytes` is zero.
async fn reserve_bytes(shared: &ServerState, to: RegionId, bytes: usize) -> usize {
    if bytes == 0 {
        return 0;
    }
    loop {
        let grant = shared.with_routing(|state, now| state.shaper.reserve(now, to, bytes as u64));
        match grant {
            Ok(Some(grant)) if grant.bytes > 0 => {
                if !grant.wait.is_zero() {
                    tokio::time::sleep(grant.wait).await;
                }
                return grant.bytes as usize;
            }
            Ok(Some(grant)) => tokio::time::sleep(grant.wait.max(NO_SHARE_RETRY_DELAY)).await,
            Ok(None) | Err(_) => tokio::time::sleep(NO_SHARE_RETRY_DELAY).await,
        }
    }
}
