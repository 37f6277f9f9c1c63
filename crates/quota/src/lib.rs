//! Admission control at the owners of endpoints, and traffic shaping on inter-region links.
//!
//! This crate does no I/O, starts no threads and reads no clock. Callers pass the time as a
//! [`Duration`] since an arbitrary start of a monotonic clock. Random choices depend on a seed
//! only.
//!
//! Invariants over all owners together:
//! - An endpoint has at most as many requests in progress as slots, and at most `max_connections`
//!   open connections.
//! - The number of requests in progress in a region does not exceed the region limit, as long as
//!   each configuration reaches every owner within 4 s. An owner that is cut off for longer keeps
//!   using the limits that it knows.
//! - The admissions of a pair of regions in any window of one second do not exceed the cross-region
//!   limit, even if owners are cut off.
//! - No request is dispatched before a configuration was confirmed to the process, during
//!   quarantine, after the deadline, or to an endpoint that is leaving or released.
//!
//! The largest remainder method divides a limit into integer shares of endpoints. The shares add up
//! to the limit and move with the ownership. While a configuration change propagates, owners use
//! different shares. Three rules keep the sum from exceeding the largest limit in force:
//! - A decreased share takes effect at once. An increased share takes effect after all owners have
//!   the configuration (4.1 s) and, for the region limit, requests admitted under the old shares
//!   have ended (the longest `max_deadline`). A change that decreases no share takes effect at
//!   once.
//! - A new process does not know earlier configurations. In a limited region, it waits for the same
//!   time after its first confirmation.
//! - The share of a lost owner's endpoint takes effect after the same time, because the lost owner
//!   may have used it at its other endpoints. An owner releases an endpoint only when its requests
//!   fit into the shares of its other endpoints.
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
