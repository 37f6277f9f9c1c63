use mangospindle_allowance::{UsageSummary, UsageTable, WorkspaceUsage};
use mangospindle_model::Clock;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Reads the usage of the workspaces' allowances on any thread.
#[derive(Clone)]
pub(crate) struct UsageReader {
    table: Arc<Mutex<UsageTable>>,
    clock: Arc<dyn Clock>,
}

impl UsageReader {
    /// Creates a reader. `clock` is the clock of the times in the table.
    pub(crate) fn new(table: Arc<Mutex<UsageTable>>, clock: Arc<dyn Clock>) -> Self {
        UsageReader { table, clock }
    }

    /// Usage of all workspaces with an allowance.
    pub(crate) fn status(&self) -> Vec<WorkspaceUsage> {
        self.table().status(self.clock.now())
    }

    /// Sums over all workspaces with an allowance.
    pub(crate) fn summary(&self) -> UsageSummary {
        self.table().summary(self.clock.now())
    }

    fn table(&self) -> MutexGuard<'_, UsageTable> {
        // A panic while the lock is held leaves the table usable, so poisoning is ignored.
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
