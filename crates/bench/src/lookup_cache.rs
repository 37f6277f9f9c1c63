use serde::Deserialize;
use std::net::SocketAddr;
use std::time::Duration;

/// Answer to a lookup, as far as the load generator needs it.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct LookupAnswer {
    pub(crate) entries: Vec<LookupEntry>,
    pub(crate) ttl_ms: u64,
}

/// One entry of a lookup answer.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct LookupEntry {
    pub(crate) address: SocketAddr,
}

/// The last lookup answer of a caller for a service.
#[derive(Clone, Debug, Default)]
pub(crate) struct LookupCache {
    pub(crate) entries: Vec<SocketAddr>,
    expires: Duration,
}

impl LookupCache {
    pub(crate) fn is_fresh(&self, now: Duration) -> bool {
        now < self.expires && !self.entries.is_empty()
    }

    pub(crate) fn store(&mut self, now: Duration, answer: LookupAnswer) {
        self.expires = now + Duration::from_millis(answer.ttl_ms);
        self.entries = answer.entries.into_iter().map(|e| e.address).collect();
    }
}
