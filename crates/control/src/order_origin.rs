use mangospindle_http::CallerConnection;

/// Where and when an operator's order arrived, so that an order that was delayed cannot undo a newer one.
#[derive(Clone, Debug)]
pub struct OrderOrigin {
    /// Log index that this replica had applied when the order arrived.
    pub(crate) applied_index: u64,
    caller: Option<CallerConnection>,
}

impl OrderOrigin {
    /// Creates the origin of an order that arrived just now. `applied_index` is the log index that this
    /// replica has applied.
    pub fn new(applied_index: u64, caller: Option<CallerConnection>) -> Self {
        OrderOrigin {
            applied_index,
            caller,
        }
    }

    /// Whether the caller may still wait for the outcome. A caller that has left may have sent the order
    /// to another replica, and other orders after it.
    pub(crate) fn caller_may_wait(&self) -> bool {
        self.caller.as_ref().is_none_or(CallerConnection::is_open)
    }
}
