//! Integration tests of an entry with fake endpoints, control replicas and callers. Endpoints and
//! callers use TCP.

#![allow(
    clippy::unwrap_used,
    reason = "helpers of tests may panic like tests; the setting in clippy.toml covers test functions only"
)]

mod fake_control;
mod fake_endpoint;
mod raw_response;
mod test_cluster;

mod actions;
mod cancellation;
mod configuration;
mod drain;
mod headers;
mod measure;
mod regions;
mod request_bodies;
mod reservation;
mod responses;
mod silent_connections;
