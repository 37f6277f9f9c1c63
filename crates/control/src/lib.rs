//! The control replica.

pub mod admin;
