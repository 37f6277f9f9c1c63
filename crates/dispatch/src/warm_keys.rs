use std::collections::VecDeque;

/// Objects that an endpoint is assumed to remember.
const REMEMBERED: usize = 24;

/// Objects that an endpoint has handled lately for this entry, the latest last.
#[derive(Clone, Debug, Default)]
pub(crate) struct WarmKeys(VecDeque<u64>);

impl WarmKeys {
    pub(crate) fn touch(&mut self, key: u64) {
        self.0.retain(|k| *k != key);
        self.0.push_back(key);
        if self.0.len() > REMEMBERED {
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
