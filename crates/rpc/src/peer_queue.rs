use crate::SNAPSHOT_CHUNK_BYTES;
use crate::limits::{MAX_PEER_QUEUE_BYTES, MAX_PEER_QUEUE_MESSAGES, PEER_BATCH_BYTES};
use crate::wire_message::{SnapshotChunk, WireMessage};
use mangospindle_consensus::{Message, MessageKind, Payload, Snapshot};
use std::collections::VecDeque;

/// Queue of messages to another replica, bounded in number and bytes.
#[derive(Debug, Default)]
pub(crate) struct PeerQueue {
    messages: VecDeque<(Message, usize)>,
    bytes: usize,
    snapshot: Option<OutgoingSnapshot>,
}

/// A snapshot that is being sent in chunks.
#[derive(Debug)]
struct OutgoingSnapshot {
    message: Message,
    offset: usize,
}

impl PeerQueue {
    /// Adds a message. Returns `false` if the message was dropped because the queue is full or the
    /// same snapshot is already being sent.
    pub(crate) fn push(&mut self, message: Message) -> bool {
        if let MessageKind::InstallSnapshot { snapshot, .. } = &message.kind {
            let sending = self.snapshot.as_ref().and_then(|s| s.snapshot());
            if sending.is_some_and(|s| (s.index, s.term) == (snapshot.index, snapshot.term)) {
                return false;
            }
            self.snapshot = Some(OutgoingSnapshot { message, offset: 0 });
            return true;
        }
        let size = estimated_size(&message);
        if self.messages.len() >= MAX_PEER_QUEUE_MESSAGES
            || self.bytes + size > MAX_PEER_QUEUE_BYTES
        {
            return false;
        }
        self.bytes += size;
        self.messages.push_back((message, size));
        true
    }

    /// Removes and returns the messages of the next call. Whole messages precede snapshot chunks,
    /// so that a snapshot does not delay heartbeats.
    pub(crate) fn next_batch(&mut self) -> Vec<WireMessage> {
        let mut batch = Vec::new();
        let mut batch_bytes = 0;
        while let Some((_, size)) = self.messages.front() {
            if !batch.is_empty() && batch_bytes + size > PEER_BATCH_BYTES {
                return batch;
            }
            if let Some((message, size)) = self.messages.pop_front() {
                batch_bytes += size;
                self.bytes -= size;
                batch.push(WireMessage::Whole(message));
            }
        }
        let chunk = self.snapshot.as_mut().and_then(|s| s.next_chunk());
        if chunk
            .as_ref()
            .is_none_or(|c| c.offset + c.data.len() as u64 >= c.total)
        {
            self.snapshot = None;
        }
        batch.extend(chunk.map(WireMessage::Chunk));
        batch
    }

    /// Drops all messages and the snapshot in progress. Messages queued for a failed connection are
    /// out of date, and the consensus protocol resends what is still needed.
    pub(crate) fn clear(&mut self) {
        *self = PeerQueue::default();
    }
}

impl OutgoingSnapshot {
    fn snapshot(&self) -> Option<&Snapshot> {
        match &self.message.kind {
            MessageKind::InstallSnapshot { snapshot, .. } => Some(snapshot),
            _ => None,
        }
    }

    fn next_chunk(&mut self) -> Option<SnapshotChunk> {
        let MessageKind::InstallSnapshot { snapshot, round } = &self.message.kind else {
            return None;
        };
        let end = (self.offset + SNAPSHOT_CHUNK_BYTES).min(snapshot.data.len());
        let chunk = SnapshotChunk {
            from: self.message.from,
            to: self.message.to,
            message_term: self.message.term,
            index: snapshot.index,
            term: snapshot.term,
            round: *round,
            membership: snapshot.membership.clone(),
            offset: self.offset as u64,
            total: snapshot.data.len() as u64,
            data: snapshot.data[self.offset..end].to_vec(),
        };
        self.offset = end;
        Some(chunk)
    }
}

/// Estimated size of the encoded message, in bytes.
fn estimated_size(message: &Message) -> usize {
    const OVERHEAD_BYTES: usize = 128;
    match &message.kind {
        MessageKind::Append { entries, .. } => (entries.iter())
            .map(|e| match &e.payload {
                Payload::Command(command) => OVERHEAD_BYTES + command.len(),
                Payload::Noop | Payload::Membership(_) => OVERHEAD_BYTES,
            })
            .sum::<usize>()
            .saturating_add(OVERHEAD_BYTES),
        _ => OVERHEAD_BYTES,
    }
}
