use mangospindle_consensus::Message;
use std::collections::VecDeque;

/// Holds messages back until what they rely on is synced.
///
/// A message that follows a hard state or a snapshot must not leave before that is on disk.
#[derive(Debug, Default)]
pub(crate) struct Gate {
    /// Disk jobs that are not synced yet, each with the messages that follow it.
    pending: VecDeque<(u64, Vec<Message>)>,
}

impl Gate {
    /// Holds later messages back until the disk job is synced.
    pub(crate) fn close(&mut self, job: u64) {
        self.pending.push_back((job, Vec::new()));
    }

    /// Returns the message if it may leave now.
    pub(crate) fn pass(&mut self, message: Message) -> Option<Message> {
        match self.pending.back_mut() {
            None => Some(message),
            Some((_, held)) => {
                held.push(message);
                None
            }
        }
    }

    /// Returns the messages that may leave once all jobs up to `job` are synced.
    pub(crate) fn open(&mut self, job: u64) -> Vec<Message> {
        let mut released = Vec::new();
        while self.pending.front().is_some_and(|(first, _)| *first <= job) {
            if let Some((_, held)) = self.pending.pop_front() {
                released.extend(held);
            }
        }
        released
    }
}
