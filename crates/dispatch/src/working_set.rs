use std::collections::VecDeque;

/// Number of objects that an endpoint is assumed to keep in its working set.
const CAPACITY: usize = 24;

/// Affinity keys of the objects that an endpoint recently handled for this entry, in order of last
/// use.
#[derive(Clone, Debug, Default)]
pub(crate) struct WorkingSet(VecDeque<u64>);

impl WorkingSet {
    pub(crate) fn touch(&mut self, key: u64) {
        self.0.retain(|k| *k != key);
        self.0.push_back(key);
        if self.0.len() > CAPACITY {
            self.0.pop_front();
        }
    }

    pub(crate) fn contains(&self, key: u64) -> bool {
        self.0.contains(&key)
    }

    pub(crate) fn clear(&mut self) {
        self.0.clear();
    }
}
