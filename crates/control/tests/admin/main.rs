//! Tests of the administration API on a bare state machine.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod access;
mod backend;
mod document;
mod requests;
