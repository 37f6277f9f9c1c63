use mangospindle_model::EntryId;
use std::collections::{BTreeMap, VecDeque};

/// Maximum number of retired processes per entry. Incarnations are random and have no order, so a
/// delayed join of a retired process can only be recognized by its incarnation. The limit covers a
/// process that restarts every second for a quarter of an hour.
const MAX_PER_ENTRY: usize = 1_000;

/// Incarnations of processes that were replaced, were fenced or have left. They must not join
/// again.
#[derive(Clone, Debug, Default)]
pub(crate) struct RetiredProcesses(pub(crate) BTreeMap<EntryId, VecDeque<u64>>);

impl RetiredProcesses {
    pub(crate) fn contains(&self, entry: EntryId, incarnation: u64) -> bool {
        (self.0.get(&entry)).is_some_and(|retired| retired.contains(&incarnation))
    }

    pub(crate) fn insert(&mut self, entry: EntryId, incarnation: u64) {
        let retired = self.0.entry(entry).or_default();
        if retired.contains(&incarnation) {
            return;
        }
        retired.push_back(incarnation);
        if retired.len() > MAX_PER_ENTRY {
            retired.pop_front();
        }
    }
}
