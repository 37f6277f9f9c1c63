//! Whether the other replicas can apply commands that earlier builds cannot read.
//!
//! A replica refuses a command that it cannot read, so its state would differ from then on from that of
//! the replicas that apply it.

use futures::future::join_all;
use mangospindle_consensus::ReplicaId;
use mangospindle_rpc::PeerLink;
use mangospindle_state::CommandKind;
use std::rc::Rc;

/// First byte of the request, which tells it from other exchanges: restart reports (2) and usage (3 and
/// 4). Earlier builds answer a request that
/// they do not know with an empty reply.
const KIND: u8 = 5;

/// Commands that this build can apply. Increases with each new command.
const LEVEL: u8 = 1;

/// The level of builds that do not know the request.
const EARLIER_LEVEL: u8 = 0;

/// Returns the level that replicas need to apply a command, or `None` if earlier builds can apply it.
pub(crate) fn required_level(kind: &CommandKind) -> Option<u8> {
    matches!(kind, CommandKind::PutFirstRoutes { .. }).then_some(LEVEL)
}

/// Handles a request of another replica; `None` if the bytes are another request.
pub(crate) fn respond(request: &[u8]) -> Option<Vec<u8>> {
    (request == [KIND]).then(|| vec![LEVEL])
}

/// Asks replicas whether they can apply commands of a level. Returns one that cannot. A replica that does
/// not answer counts as one that can: one that is lost while the system starts must not keep the others
/// from accepting a configuration.
pub(crate) async fn find_earlier_build(
    replicas: Vec<(ReplicaId, Rc<PeerLink>)>,
    level: u8,
) -> Option<ReplicaId> {
    let replies = replicas.into_iter().map(|(replica, link)| async move {
        let reply = link.exchange(&[KIND]).await?;
        let known_level = reply.first().copied().unwrap_or(EARLIER_LEVEL);
        (known_level < level).then_some(replica)
    });
    join_all(replies).await.into_iter().flatten().next()
}
