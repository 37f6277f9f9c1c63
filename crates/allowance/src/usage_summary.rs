/// Sums over all workspaces with an allowance, for operators.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UsageSummary {
    /// Number of workspaces with an allowance.
    pub allowances: usize,
    /// Number of these that are short.
    pub short: usize,
    /// Requests that entries which report to this replica rejected since its start. Never falls, also
    /// when workspaces are removed.
    pub rejected: u64,
}
