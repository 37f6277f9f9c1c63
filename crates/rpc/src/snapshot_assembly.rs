use crate::wire_message::SnapshotChunk;
use crate::{MAX_SNAPSHOT_BYTES, RpcError};
use mangospindle_consensus::{Message, MessageKind, Snapshot};

/// Puts the chunks of one connection together to an `InstallSnapshot` message.
#[derive(Debug, Default)]
pub(crate) struct SnapshotAssembly {
    /// Position, term and sender's term of the snapshot that is being received.
    current: Option<(u64, u64, u64)>,
    data: Vec<u8>,
}

impl SnapshotAssembly {
    /// Adds the next chunk. Returns the message once it is complete.
    pub(crate) fn add(&mut self, chunk: SnapshotChunk) -> Result<Option<Message>, RpcError> {
        let id = (chunk.index, chunk.term, chunk.message_term);
        if chunk.offset == 0 {
            self.current = Some(id);
            self.data = Vec::new();
        }
        if chunk.total > MAX_SNAPSHOT_BYTES {
            return Err(RpcError::Invalid("snapshot too large".to_string()));
        }
        if self.current != Some(id) || chunk.offset != self.data.len() as u64 {
            return Err(RpcError::Invalid("snapshot chunk out of order".to_string()));
        }
        self.data.extend_from_slice(&chunk.data);
        if (self.data.len() as u64) < chunk.total {
            return Ok(None);
        }
        self.current = None;
        Ok(Some(Message {
            from: chunk.from,
            to: chunk.to,
            term: chunk.message_term,
            kind: MessageKind::InstallSnapshot {
                snapshot: Snapshot {
                    index: chunk.index,
                    term: chunk.term,
                    membership: chunk.membership,
                    data: std::mem::take(&mut self.data),
                },
                round: chunk.round,
            },
        }))
    }
}
