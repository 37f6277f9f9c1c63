//! Ordering of outputs.

use super::Node;
use crate::Output;
use std::time::Duration;

impl Node {
    /// Moves all pending work to the outputs. The hard state comes first, because it must be
    /// durable before messages are sent, followed by entries, messages and committed entries.
    pub(super) fn flush(&mut self, now: Duration) {
        self.send_appends(now);
        if std::mem::take(&mut self.hard_state_changed) {
            let hard_state = self.hard_state.clone();
            self.outputs.push(Output::PersistHardState(hard_state));
        }
        let entries = self.log.take_unwritten();
        if !entries.is_empty() {
            self.outputs.push(Output::PersistEntries(entries));
        }
        self.outputs
            .extend(self.messages.drain(..).map(Output::Send));
        self.outputs.append(&mut self.results);
        self.report_role();
    }
}
