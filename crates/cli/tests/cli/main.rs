//! Tests of the command line against the administration API on a bare state machine.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

#[path = "../../../control/tests/admin/backend.rs"]
mod backend;
mod broken_answers;
mod commands;
mod lost_answers;
mod server;
#[allow(dead_code, reason = "the tests of the state machine use the rest")]
#[path = "../../../state/tests/state/support.rs"]
mod support;
mod workspaces;
