//! Admission at the owner of endpoints and pacing of inter-region links.
//!
//! This crate has no sockets, files, threads or clock reads. Time is a [`Duration`] since an
//! arbitrary start of a monotonic clock; randomness comes from a seed.
//!
//! [`Duration`]: std::time::Duration

mod action;
mod admission;
mod admission_request;
mod class_queue;
mod cross_region;
mod decision;
mod endpoint_reading;
mod link_grant;
mod link_shaper;
mod permit;
mod request_result;
mod share_history;
mod shares;
mod ticket;
mod token_bucket;

pub use action::Action;
pub use admission::Admission;
pub use admission_request::AdmissionRequest;
pub use decision::Decision;
pub use endpoint_reading::EndpointReading;
pub use link_grant::LinkGrant;
pub use link_shaper::LinkShaper;
pub use permit::Permit;
pub use request_result::RequestResult;
pub use ticket::Ticket;
