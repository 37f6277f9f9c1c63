use crate::ConfigChange;
use std::collections::VecDeque;

/// Maximum number of changes that are kept for watchers with older versions. It covers several days
/// of operators' changes. A region that loses all its entries at the target scale makes fewer.
const MAX_CHANGES: usize = 4_096;

/// The newest changes of the configuration. They are not part of a snapshot: after a restart, a
/// watcher with an older version receives the full configuration.
#[derive(Clone, Debug, Default)]
pub(crate) struct ChangeHistory(VecDeque<ConfigChange>);

impl ChangeHistory {
    pub(crate) fn push(&mut self, change: ConfigChange) {
        self.0.push_back(change);
        if self.0.len() > MAX_CHANGES {
            self.0.pop_front();
        }
    }

    /// The last `count` changes, or `None` if not all of them are kept.
    pub(crate) fn last(&self, count: u64) -> Option<Vec<&ConfigChange>> {
        let skip = (self.0.len() as u64).checked_sub(count)?;
        Some(self.0.iter().skip(skip as usize).collect())
    }
}
