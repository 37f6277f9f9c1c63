use mangospindle_consensus::{Entry, HardState, Membership, Payload, RecoveredState, Snapshot};

/// A write by the driver of a node.
#[derive(Clone, Debug)]
pub enum Write {
    HardState(HardState),
    Entries(Vec<Entry>),
    /// The snapshot, and whether later log entries are kept.
    Snapshot(Snapshot, bool),
}

/// A simulated disk that tracks unsynced writes separately and may lose some of them in a crash.
#[derive(Clone, Debug, Default)]
pub struct Disk {
    pub synced: RecoveredState,
    pub pending: Vec<Write>,
}

impl Disk {
    pub fn sync(&mut self) {
        for write in std::mem::take(&mut self.pending) {
            apply_write(&mut self.synced, write);
        }
    }

    /// Keeps only the first `surviving_writes` unsynced writes. If `torn` is set and the last of
    /// them writes entries, only half of its entries survive.
    pub fn crash(&mut self, surviving_writes: usize, torn: bool) {
        self.pending.truncate(surviving_writes);
        match self.pending.last_mut() {
            Some(Write::Entries(entries)) if torn => entries.truncate(entries.len() / 2),
            _ => {}
        }
        self.sync();
    }

    pub fn contains_entry(&self, index: u64, term: u64) -> bool {
        let snapshot_index = self.synced.snapshot.as_ref().map_or(0, |s| s.index);
        let mut entries = self.synced.entries.iter();
        index <= snapshot_index || entries.any(|e| e.index == index && e.term == term)
    }

    pub fn membership(&self) -> Membership {
        let from_log = self
            .synced
            .entries
            .iter()
            .rev()
            .find_map(|e| match &e.payload {
                Payload::Membership(membership) => Some(membership.clone()),
                _ => None,
            });
        let snapshot = self.synced.snapshot.as_ref().map(|s| s.membership.clone());
        from_log.or(snapshot).unwrap_or_default()
    }
}

fn apply_write(synced: &mut RecoveredState, write: Write) {
    match write {
        Write::HardState(hard_state) => synced.hard_state = hard_state,
        Write::Entries(entries) => {
            let first = entries.first().map_or(u64::MAX, |e| e.index);
            synced.entries.retain(|e| e.index < first);
            synced.entries.extend(entries);
        }
        Write::Snapshot(snapshot, keep_later) => {
            let index = snapshot.index;
            synced.entries.retain(|e| keep_later && e.index > index);
            synced.snapshot = Some(snapshot);
        }
    }
}
