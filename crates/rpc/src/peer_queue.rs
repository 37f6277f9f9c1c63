use crate::SNAPSHOT_CHUNK_BYTES;
use crate::limits::{PEER_CALL_BYTES, PEER_QUEUE_BYTES, PEER_QUEUE_MESSAGES};
use crate::wire_message::{SnapshotChunk, WireMessage};
use mangospindle_consensus::{Message, MessageKind, Payload, Snapshot};
use std::collections::VecDeque;

/// Messages that wait for the connection to another replica, with bounds on number and bytes.
#[derive(Debug, Default)]
pub(crate) struct PeerQueue {
    messages: VecDeque<(Message, usize)>,
    bytes: usize,
    snapshot: Option<OutgoingSnapshot>,
}

/// A snapshot that is being sent.
#[derive(Debug)]
struct OutgoingSnapshot {
    message: Message,
    offset: usize,
}

impl PeerQueue {
    /// Adds a message. Returns whether it was taken: the queue is bounded, and a snapshot that is
    /// already being sent is not sent a second time at once.
    pub(crate) fn push(&mut self, message: Message) -> bool {
        if let MessageKind::InstallSnapshot { snapshot, .. } = &message.kind {
            let sending = self.snapshot.as_ref().and_then(|s| s.snapshot());
            if sending.is_some_and(|s| (s.index, s.term) == (snapshot.index, snapshot.term)) {
                return false;
            }
            self.snapshot = Some(OutgoingSnapshot { message, offset: 0 });
            return true;
        }
        let size = message_size(&message);
        if self.messages.len() >= PEER_QUEUE_MESSAGES || self.bytes + size > PEER_QUEUE_BYTES {
            return false;
        }
        self.bytes += size;
        self.messages.push_back((message, size));
        true
    }

    /// Takes the content of the next call. Messages go before snapshot chunks, so that heartbeats
    /// are not delayed by a snapshot.
    pub(crate) fn next_call(&mut self) -> Vec<WireMessage> {
        let mut call = Vec::new();
        let mut call_bytes = 0;
        while let Some((_, size)) = self.messages.front() {
            if !call.is_empty() && call_bytes + size > PEER_CALL_BYTES {
                return call;
            }
            if let Some((message, size)) = self.messages.pop_front() {
                call_bytes += size;
                self.bytes -= size;
                call.push(WireMessage::Whole(message));
            }
        }
        let chunk = self.snapshot.as_mut().and_then(|s| s.next_chunk());
        if chunk
            .as_ref()
            .is_none_or(|c| c.offset + c.data.len() as u64 >= c.total)
        {
            self.snapshot = None;
        }
        call.extend(chunk.map(WireMessage::Chunk));
        call
    }

    /// Drops everything. What waited for a connection that failed is out of date; the replicated
    /// log sends again what is still needed.
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

/// About the size of the encoded message.
fn message_size(message: &Message) -> usize {
    const OVERHEAD: usize = 128;
    match &message.kind {
        MessageKind::Append { entries, .. } => (entries.iter())
            .map(|e| match &e.payload {
                Payload::Command(command) => OVERHEAD + command.len(),
                Payload::Noop | Payload::Membership(_) => OVERHEAD,
            })
            .sum::<usize>()
            .saturating_add(OVERHEAD),
        _ => OVERHEAD,
    }
}
