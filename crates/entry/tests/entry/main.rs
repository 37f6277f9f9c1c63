//! Tests of an entry against fakes at its edges: endpoints over TCP, control replicas, callers.

#![allow(
    clippy::unwrap_used,
    reason = "helpers of tests may panic like tests; the setting in clippy.toml covers test functions only"
)]

mod fake_control;
mod fake_endpoint;
mod raw_call;
mod testbed;

mod actions;
mod answers;
mod cancellation;
mod configuration;
mod drain;
mod limits;
mod measure;
mod regions;
mod requests;
mod reservation;
mod silence;
