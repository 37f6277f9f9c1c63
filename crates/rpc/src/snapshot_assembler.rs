use crate::wire_message::SnapshotChunk;
use crate::{MAX_SNAPSHOT_BYTES, RpcError};
use mangospindle_consensus::{Message, MessageKind, Snapshot};

/// Assembles the snapshot chunks of one connection into an `InstallSnapshot` message.
#[derive(Debug, Default)]
pub(crate) struct SnapshotAssembler {
    /// Index, term and sender's term of the snapshot that is being received.
    current_id: Option<(u64, u64, u64)>,
    data: Vec<u8>,
}

impl SnapshotAssembler {
    /// Adds the next chunk. Returns the message if it is complete.
    ///
    /// # Errors
    ///
    /// Returns [`RpcError::Invalid`] if the snapshot exceeds [`MAX_SNAPSHOT_BYTES`] or the chunk is
    /// out of order.
    pub(crate) fn add_chunk(&mut self, chunk: SnapshotChunk) -> Result<Option<Message>, RpcError> {
        let id = (chunk.index, chunk.term, chunk.message_term);
        if chunk.offset == 0 {
            self.current_id = Some(id);
            self.data = Vec::new();
        }
        if chunk.total > MAX_SNAPSHOT_BYTES {
            return Err(RpcError::Invalid(
                "snapshot exceeds the size limit".to_string(),
            ));
        }
        if self.current_id != Some(id) || chunk.offset != self.data.len() as u64 {
            return Err(RpcError::Invalid("snapshot chunk out of order".to_string()));
        }
        self.data.extend_from_slice(&chunk.data);
        if (self.data.len() as u64) < chunk.total {
            return Ok(None);
        }
        self.current_id = None;
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
