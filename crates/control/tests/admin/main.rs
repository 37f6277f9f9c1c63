//! Tests of the administration API on a bare state machine.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod access;
mod backend;
mod document;
mod requests;
#[allow(dead_code, reason = "the tests of the state machine use the rest")]
#[path = "../../../state/tests/state/support.rs"]
mod support;
