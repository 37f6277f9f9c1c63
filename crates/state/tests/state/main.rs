//! Tests of the state machine: tables of cases, randomized command sequences and a memory
//! measurement.

mod claim_memory;
mod fuzz;
mod oracle;
mod retained;
mod routes;
mod scenarios;
mod snapshots;
mod support;
mod workspaces;
