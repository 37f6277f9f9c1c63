use mangospindle_consensus::{Entry, HardState, Membership, Payload, RecoveredState, Snapshot};

/// One write of a driver.
#[derive(Clone, Debug)]
pub enum Write {
    HardState(HardState),
    Entries(Vec<Entry>),
    Snapshot(Snapshot, bool),
}

/// A disk that keeps unsynced writes apart, and loses a part of them in a crash.
#[derive(Clone, Debug, Default)]
pub struct Disk {
    pub synced: RecoveredState,
    pub pending: Vec<Write>,
}

impl Disk {
    pub fn sync(&mut self) {
        for write in std::mem::take(&mut self.pending) {
            apply(&mut self.synced, write);
        }
    }

    /// Keeps the first `survivors` unsynced writes; a write of entries may be torn.
    pub fn crash(&mut self, survivors: usize, torn: bool) {
        self.pending.truncate(survivors);
        match self.pending.last_mut() {
            Some(Write::Entries(entries)) if torn => entries.truncate(entries.len() / 2),
            _ => {}
        }
        self.sync();
    }

    pub fn holds(&self, index: u64, term: u64) -> bool {
        let covered = self.synced.snapshot.as_ref().map_or(0, |s| s.index);
        let mut entries = self.synced.entries.iter();
        index <= covered || entries.any(|e| e.index == index && e.term == term)
    }

    pub fn membership(&self) -> Membership {
        let logged = self
            .synced
            .entries
            .iter()
            .rev()
            .find_map(|e| match &e.payload {
                Payload::Membership(membership) => Some(membership.clone()),
                _ => None,
            });
        let snapshot = self.synced.snapshot.as_ref().map(|s| s.membership.clone());
        logged.or(snapshot).unwrap_or_default()
    }
}

fn apply(synced: &mut RecoveredState, write: Write) {
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
