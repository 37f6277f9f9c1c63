//! Tests of the administration API on a state machine without a replica.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod access;
mod backend;
mod openapi;
mod requests;
#[allow(
    dead_code,
    reason = "the tests of the state machine use the other helpers"
)]
#[path = "../../../state/tests/state/support.rs"]
mod support;
mod workspaces;
