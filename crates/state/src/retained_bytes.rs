/// Memory of the parts of a [`State`](crate::State) that hold past changes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RetainedBytes {
    /// Records of the audit trail, in bytes.
    pub audit_trail: usize,
    /// Changes that are kept for watchers with older versions, in bytes.
    pub change_history: usize,
}
