//! Admission at the owner of endpoints and pacing of inter-region links.
//!
//! This crate has no sockets, files, threads or clock reads. Time is a [`Duration`] since an
//! arbitrary start of a monotonic clock; randomness comes from a seed.
//!
//! Invariants, over all owners together:
//! - An endpoint has at most its slots in progress and its `max_connections` open.
//! - A region has at most its limit in progress, as long as each configuration reaches every owner
//!   within 4 s. An owner that is cut off longer keeps the limits that it knows.
//! - A pair of regions has at most the cross-region limit of admissions in any window of one
//!   second, even with owners that are cut off.
//! - Nothing is dispatched before a configuration was confirmed to the process, during quarantine,
//!   after the deadline, or to an endpoint that leaves or is released.
//!
//! Limits are divided into whole shares of endpoints by the largest remainder method, so that the
//! shares sum up to the limit and move with the ownership. While a configuration change is in
//! flight, owners use different shares. Three rules keep the sum below the largest of the limits in
//! force:
//! - A decreased share counts at once. An increased share counts after all owners have the
//!   configuration (4.1 s) and, for the region limit, requests admitted under the old shares are
//!   over (the longest `max_deadline`). A change that decreases no share counts at once.
//! - A new process does not know earlier configurations. In a limited region, it waits as long
//!   after its first confirmation.
//! - The share of a lost owner's endpoint counts after the same time, because the lost owner may
//!   have used it at its other endpoints. An owner releases an endpoint only when it fits into the
//!   shares of its other endpoints.
//!
//! [`Duration`]: std::time::Duration

mod action;
mod admission;
mod admission_request;
mod class_queue;
mod cross_region_limiter;
mod decision;
mod endpoint_observation;
mod endpoint_progress;
mod largest_remainder;
mod link_grant;
mod link_shaper;
mod permit;
mod request_result;
mod share_history;
mod ticket;
mod token_bucket;

pub use action::Action;
pub use admission::Admission;
pub use admission_request::AdmissionRequest;
pub use decision::Decision;
pub use endpoint_observation::EndpointObservation;
pub use endpoint_progress::EndpointProgress;
pub use link_grant::LinkGrant;
pub use link_shaper::LinkShaper;
pub use permit::Permit;
pub use request_result::RequestResult;
pub use ticket::Ticket;
