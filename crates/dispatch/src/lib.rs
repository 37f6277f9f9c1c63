//! Choice of the endpoint for each request of a route, or a reasoned refusal.
//!
//! Every entry dispatches to every endpoint. What an endpoint does at present is learned from its
//! answers: each carries its load, and a full endpoint says that it did not run the request. A
//! request is sent at once to the endpoint that is expected to answer first, or refused at once if
//! no endpoint is expected to answer in time; nothing waits in an entry.
//!
//! This crate has no sockets, files, threads or clock reads. Time is a [`Duration`] since an
//! arbitrary start of a monotonic clock; randomness comes from a seed.
//!
//! Invariants:
//! - Nothing is sent to an endpoint that is draining, gone, or in an evacuated failure domain.
//! - All entries of a region together send a cold endpoint no more than its service's cold rate,
//!   and entries of other regions send it nothing.
//! - The share of requests that leaves the region changes by at most [`MAX_SHARE_STEP`] in
//!   [`SHARE_UPDATE_INTERVAL`], unless a region has no usable endpoint.
//! - Second sends are paid from a budget.
//!
//! [`Duration`]: std::time::Duration

mod cold_allowance;
mod dispatcher;
mod endpoint_key;
mod load_estimate;
mod outcome;
mod refusal;
mod region_shares;
mod request;
mod send_ticket;
mod settings;
mod warm_keys;
mod weighted_round_robin;
mod work_times;

pub use dispatcher::Dispatcher;
pub use endpoint_key::EndpointKey;
pub use load_estimate::LoadReading;
pub use outcome::Outcome;
pub use refusal::{Refusal, RefusalReason};
pub use region_shares::{MAX_SHARE_STEP, SHARE_UPDATE_INTERVAL};
pub use request::{Choice, Request};
pub use send_ticket::SendTicket;
pub use settings::DispatchSettings;
pub use weighted_round_robin::WeightedRoundRobin;
