use crate::{Entry, Membership, Payload, RecoveredState, RecoveryError, Snapshot};
use std::collections::VecDeque;

/// The part of the replicated log that is held in memory, and how much of it is on disk.
#[derive(Debug)]
pub(crate) struct Log {
    /// Index and term of the entry before the first one in memory.
    previous: (u64, u64),
    entries: VecDeque<Entry>,
    /// Size of the entries in memory, in bytes.
    bytes: usize,
    /// Latest snapshot. Present whenever `previous` is not the start of the log.
    snapshot: Option<Snapshot>,
    /// Memberships with their indexes. The first one is in effect before the first entry.
    memberships: Vec<(u64, Membership)>,
    /// Index of the last entry that is synced and still part of the log.
    persisted: u64,
    /// Index of the first entry that has not been passed to the driver yet.
    first_unwritten: u64,
}

impl Log {
    pub(crate) fn recover(recovered: RecoveredState) -> Result<Self, RecoveryError> {
        let RecoveredState {
            hard_state,
            snapshot,
            entries,
        } = recovered;
        let previous = snapshot.as_ref().map_or((0, 0), |s| (s.index, s.term));
        let membership = snapshot.as_ref().map(|s| s.membership.clone());
        let mut log = Self {
            previous,
            entries: VecDeque::new(),
            bytes: 0,
            snapshot,
            memberships: vec![(previous.0, membership.unwrap_or_default())],
            persisted: 0,
            first_unwritten: 0,
        };
        for entry in entries.into_iter().filter(|e| e.index > previous.0) {
            let (index, term) = (entry.index, entry.term);
            match log.last() {
                (last, _) if index != last + 1 => {
                    return Err(RecoveryError::Gap {
                        previous: last,
                        found: index,
                    });
                }
                (_, last) if term < last || term > hard_state.term => {
                    return Err(RecoveryError::Term { index, term });
                }
                _ => log.append(entry),
            }
        }
        log.persisted = log.last_index();
        log.first_unwritten = log.last_index() + 1;
        Ok(log)
    }

    /// Index and term of the last entry.
    pub(crate) fn last(&self) -> (u64, u64) {
        self.entries
            .back()
            .map_or(self.previous, |e| (e.index, e.term))
    }

    pub(crate) fn last_index(&self) -> u64 {
        self.last().0
    }

    pub(crate) fn first_index(&self) -> u64 {
        self.previous.0 + 1
    }

    pub(crate) fn previous(&self) -> (u64, u64) {
        self.previous
    }

    pub(crate) fn persisted(&self) -> u64 {
        self.persisted
    }

    pub(crate) fn snapshot(&self) -> Option<&Snapshot> {
        self.snapshot.as_ref()
    }

    pub(crate) fn entry(&self, index: u64) -> Option<&Entry> {
        let offset = index.checked_sub(self.first_index())?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// Term of the entry at `index`, if it is in memory or directly before the first entry there.
    pub(crate) fn term(&self, index: u64) -> Option<u64> {
        match index {
            i if i == self.previous.0 => Some(self.previous.1),
            i => self.entry(i).map(|e| e.term),
        }
    }

    /// Index of the first entry in memory of the run of equal terms that ends at `index`.
    pub(crate) fn first_index_of_term(&self, index: u64) -> u64 {
        let term = self.term(index);
        (self.first_index()..=index)
            .rev()
            .take_while(|i| self.term(*i) == term)
            .last()
            .unwrap_or(index)
    }

    /// Latest membership and its index.
    pub(crate) fn membership(&self) -> (u64, &Membership) {
        static EMPTY: Membership = Membership {
            voters: Vec::new(),
            learners: Vec::new(),
        };
        self.memberships
            .last()
            .map_or((0, &EMPTY), |(index, m)| (*index, m))
    }

    /// The memberships that may be in effect: the last committed one and those after it.
    pub(crate) fn possible_memberships(&self, committed: u64) -> &[(u64, Membership)] {
        let first = self
            .memberships
            .iter()
            .rposition(|(at, _)| *at <= committed);
        &self.memberships[first.unwrap_or(0)..]
    }

    pub(crate) fn append(&mut self, entry: Entry) {
        if let Payload::Membership(membership) = &entry.payload {
            self.memberships.push((entry.index, membership.clone()));
        }
        self.bytes += entry.size_bytes();
        self.entries.push_back(entry);
    }

    /// Removes the entries from `index` onwards, and the memberships in them.
    pub(crate) fn truncate(&mut self, index: u64) {
        while self.entries.back().is_some_and(|e| e.index >= index) {
            let removed = self.entries.pop_back();
            self.bytes -= removed.map_or(0, |e| e.size_bytes());
        }
        let first = self.memberships.first().cloned();
        self.memberships.retain(|(at, _)| *at < index);
        if self.memberships.is_empty() {
            self.memberships.extend(first);
        }
        self.persisted = self.persisted.min(self.last_index());
        self.first_unwritten = self.first_unwritten.min(self.last_index() + 1);
    }

    /// Marks the entries up to `index` as synced, unless the entry there has been replaced since.
    /// Returns whether the persisted index has advanced.
    pub(crate) fn mark_persisted(&mut self, index: u64, term: u64) -> bool {
        let advanced = index > self.persisted && self.term(index) == Some(term);
        if advanced {
            self.persisted = index;
        }
        advanced
    }

    /// Takes the entries that have not been passed to the driver yet.
    pub(crate) fn take_unwritten(&mut self) -> Vec<Entry> {
        let from = self.first_unwritten.max(self.first_index());
        self.first_unwritten = self.last_index() + 1;
        (from..self.first_unwritten)
            .filter_map(|i| self.entry(i).cloned())
            .collect()
    }

    /// Builds the snapshot up to `index`. Of the entries that it includes, keeps the newest ones, at
    /// most `retained_entries` and `retained_bytes`.
    pub(crate) fn compact(
        &mut self,
        index: u64,
        data: Vec<u8>,
        retained_entries: u64,
        retained_bytes: usize,
    ) -> Option<Snapshot> {
        let term = self.term(index)?;
        if self.snapshot.as_ref().is_some_and(|s| s.index >= index) {
            return None;
        }
        let effective = self.memberships.iter().rev().find(|(at, _)| *at <= index)?;
        let snapshot = Snapshot {
            index,
            term,
            membership: effective.1.clone(),
            data,
        };
        self.snapshot = Some(snapshot.clone());
        let last_dropped = self.last_dropped(index, retained_entries, retained_bytes);
        while self
            .entries
            .front()
            .is_some_and(|e| e.index <= last_dropped)
        {
            if let Some(entry) = self.entries.pop_front() {
                self.bytes -= entry.size_bytes();
                self.previous = (entry.index, entry.term);
            }
        }
        let base = self
            .memberships
            .iter()
            .rposition(|(at, _)| *at <= last_dropped);
        self.memberships.drain(..base.unwrap_or(0));
        Some(snapshot)
    }

    /// Index of the newest entry that a snapshot up to `index` replaces.
    fn last_dropped(&self, index: u64, retained_entries: u64, retained_bytes: usize) -> u64 {
        let mut bytes = 0;
        let included = self.entries.iter().rev().filter(|e| e.index <= index);
        let first_dropped = included.zip(1..).find(|(entry, count)| {
            bytes += entry.size_bytes();
            *count > retained_entries || bytes > retained_bytes
        });
        first_dropped.map_or(self.previous.0, |(entry, _)| entry.index)
    }

    /// Size of the entries in memory, in bytes.
    pub(crate) fn bytes(&self) -> usize {
        self.bytes
    }

    /// Replaces the whole log with a snapshot.
    pub(crate) fn install(&mut self, snapshot: Snapshot) {
        self.previous = (snapshot.index, snapshot.term);
        self.entries.clear();
        self.bytes = 0;
        self.memberships = vec![(snapshot.index, snapshot.membership.clone())];
        self.persisted = snapshot.index;
        self.first_unwritten = snapshot.index + 1;
        self.snapshot = Some(snapshot);
    }
}
