use mangospindle_consensus::Message;
use std::collections::VecDeque;

/// Holds outgoing messages until the writes that they depend on are synced.
///
/// A message that follows a hard state or a snapshot must not be sent before that is on disk.
#[derive(Debug, Default)]
pub(crate) struct SendBarrier {
    /// Numbers of disk writes that are not synced yet, each with the messages that follow it.
    pending: VecDeque<(u64, Vec<Message>)>,
}

impl SendBarrier {
    /// Holds subsequent messages until the disk write is synced.
    pub(crate) fn add_write(&mut self, write: u64) {
        self.pending.push_back((write, Vec::new()));
    }

    /// Returns the message if it can be sent now, otherwise holds it.
    pub(crate) fn send_or_hold(&mut self, message: Message) -> Option<Message> {
        match self.pending.back_mut() {
            None => Some(message),
            Some((_, held)) => {
                held.push(message);
                None
            }
        }
    }

    /// Returns the messages that can be sent now that all writes up to `write` are synced.
    pub(crate) fn release(&mut self, write: u64) -> Vec<Message> {
        let mut released = Vec::new();
        while self
            .pending
            .front()
            .is_some_and(|(oldest, _)| *oldest <= write)
        {
            if let Some((_, held)) = self.pending.pop_front() {
                released.extend(held);
            }
        }
        released
    }
}
