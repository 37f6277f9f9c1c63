//! Thin binary.

fn main() {}
