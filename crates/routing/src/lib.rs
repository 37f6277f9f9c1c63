//! Client block table, lookup order, owner selection, outlier ejection, retries and hedging.
//!
//! This crate performs no I/O, starts no threads and reads no clock. Callers pass the time as a
//! [`Duration`] since an arbitrary origin of a monotonic clock. Random choices are seeded.
//!
//! Invariants:
//! - At most half of the owners of a service are ejected at a time.
//! - Only reads, and requests that provably did not run, are retried.
//! - A request is hedged at most once, and only if it is a read.
//! - [`Router::lookup`] returns at least one entry if the topology has any entries.
//!
//! [`Duration`]: std::time::Duration

mod attempts;
mod client_home;
mod client_table;
mod owner_event;
mod retry_budget;
mod retry_decision;
mod router;
mod target_stats;

pub use attempts::Attempts;
pub use client_home::ClientHome;
pub use client_table::ClientTable;
pub use owner_event::OwnerEvent;
pub use retry_budget::RetryBudget;
pub use retry_decision::RetryDecision;
pub use router::{MAX_LOOKUP_ENTRIES, Router};
pub use target_stats::TargetStats;
