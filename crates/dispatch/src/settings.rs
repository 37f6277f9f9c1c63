use std::collections::BTreeMap;

/// Settings of a [`Dispatcher`](crate::Dispatcher).
#[derive(Clone, Debug, PartialEq)]
pub struct DispatchSettings {
    /// Failure domain of this entry.
    pub failure_domain: String,
    /// Region of each failure domain, by name.
    pub regions: BTreeMap<String, String>,
    /// Retries and hedged requests that all entries together may send, per first attempt.
    pub retry_ratio: f64,
    /// Retries and hedged requests that all entries together may send in each budget window,
    /// regardless of the number of first attempts.
    pub retry_slack: f64,
}

impl DispatchSettings {
    /// Region of this entry.
    pub fn region(&self) -> &str {
        self.region_of(&self.failure_domain)
    }

    /// Region of a failure domain. An unknown failure domain is treated as a region of its own.
    pub fn region_of<'a>(&'a self, failure_domain: &'a str) -> &'a str {
        self.regions
            .get(failure_domain)
            .map_or(failure_domain, String::as_str)
    }

    /// Number of regions.
    pub fn region_count(&self) -> usize {
        let mut names: Vec<&String> = self.regions.values().collect();
        names.sort_unstable();
        names.dedup();
        names.len().max(1)
    }
}
