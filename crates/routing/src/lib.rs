//! Client block table, lookup order, choice of owner, outlier ejection, retries and hedging.
//!
//! This crate has no sockets, files, threads or clock reads. Time is a [`Duration`] since an
//! arbitrary start of a monotonic clock; randomness comes from a seed.
//!
//! Invariants:
//! - At most half of the candidates for a service are ejected at a time.
//! - Only reads, and requests that provably did not run, are attempted again.
//! - A request is hedged at most once, and only if it is a read.
//! - [`Router::lookup`] returns at least one entry if the topology has any.
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
