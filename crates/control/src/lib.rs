//! The control replica.
