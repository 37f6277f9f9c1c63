use crate::ConfigChange;
use std::collections::VecDeque;

/// Maximum number of changes that are kept for watchers with older versions. It covers several days
/// of operators' changes. A region that loses all its entries at the target scale makes fewer.
const MAX_CHANGES: usize = 4_096;

/// Maximum size of the changes, in bytes. Bounds a reply to a watcher as well, which must fit into a
/// message and into the memory of an entry.
const MAX_BYTES: usize = 1 << 20;

/// Memory that a change takes in addition to its encoding, in bytes: the entry in the queue and the
/// header of the allocation.
const OVERHEAD_BYTES: usize = 32;

/// The newest changes of the configuration. They are not part of a snapshot: after a restart, a
/// watcher with an older version receives the full configuration.
#[derive(Clone, Debug, Default)]
pub(crate) struct ChangeHistory {
    /// Encoded changes, which take less memory than decoded ones and whose size is known.
    changes: VecDeque<Box<[u8]>>,
    bytes: usize,
}

impl ChangeHistory {
    /// Appends a change and evicts the oldest changes above the limits.
    pub(crate) fn push(&mut self, change: &ConfigChange) {
        // Encoding into memory fails only for sequences of unknown length. There are none here.
        let encoded = postcard::to_stdvec(change).expect("the length of every sequence is known");
        self.bytes += encoded.len() + OVERHEAD_BYTES;
        self.changes.push_back(encoded.into());
        while self.changes.len() > MAX_CHANGES || self.bytes > MAX_BYTES {
            let evicted = self.changes.pop_front();
            self.bytes -= evicted.map_or(0, |c| c.len() + OVERHEAD_BYTES);
        }
    }

    /// The last `count` changes, or `None` if not all of them are kept.
    pub(crate) fn last(&self, count: u64) -> Option<Vec<ConfigChange>> {
        let skip = (self.changes.len() as u64).checked_sub(count)?;
        let changes = self.changes.iter().skip(skip as usize);
        Some(changes.map(|c| decode(c)).collect())
    }

    /// Memory that the changes take, in bytes.
    pub(crate) fn bytes(&self) -> usize {
        self.bytes
    }
}

fn decode(change: &[u8]) -> ConfigChange {
    // The bytes are only created by `ChangeHistory::push`.
    postcard::from_bytes(change).expect("the encoding of a change can be decoded")
}
