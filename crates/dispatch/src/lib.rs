//! Chooses the endpoint for each request of a route, or refuses the request with a reason.
//!
//! Every entry dispatches to every endpoint. It learns the state of an endpoint from its responses:
//! each response reports the endpoint's load, and a full endpoint responds that it did not run the
//! request. A request is sent at once to the endpoint with the lowest cost, which is mainly its
//! expected latency. If no endpoint is expected to respond in time, the request is refused at once.
//! Entries do not queue requests.
//!
//! This crate does no I/O, starts no threads and reads no clock. Time is a [`Duration`] since an
//! arbitrary origin of a monotonic clock. Random numbers come from a seeded generator.
//!
//! Invariants:
//! - No request is sent to an endpoint that is draining, no longer listed, or in an evacuated
//!   failure domain.
//! - The entries of a cold endpoint's region together send it requests at no more than its
//!   service's cold rate. Entries of other regions send it none.
//! - The entries that know of an endpoint's rate limit together send it requests at no more than that
//!   rate.
//! - The share of requests that is sent to other regions changes by at most [`MAX_SHARE_STEP`] in
//!   each [`SHARE_UPDATE_INTERVAL`], unless a region has no usable endpoint.
//! - Retries and hedged requests are limited by a retry budget.
//!
//! [`Duration`]: std::time::Duration

mod dispatcher;
mod endpoint_key;
mod endpoint_notices;
mod entry_rate_limiter;
mod health_check;
mod load_estimate;
mod outcome;
mod path_monitor;
mod refusal;
mod region_entries;
mod region_load;
mod region_shares;
mod request;
mod send_ticket;
mod service_time_estimate;
mod settings;
mod stop_schedule;
mod weighted_round_robin;
mod working_set;

pub use dispatcher::Dispatcher;
pub use endpoint_key::EndpointKey;
pub use endpoint_notices::EndpointNotices;
pub use health_check::{HealthCheck, HealthReport};
pub use load_estimate::LoadReading;
pub use outcome::Outcome;
pub use path_monitor::{PathChange, PathMonitor, ProbeRound};
pub use refusal::{Refusal, RefusalReason};
pub use region_shares::{MAX_SHARE_STEP, SHARE_UPDATE_INTERVAL};
pub use request::{Choice, Request};
pub use send_ticket::SendTicket;
pub use settings::DispatchSettings;
pub use stop_schedule::StopSchedule;
pub use weighted_round_robin::WeightedRoundRobin;
