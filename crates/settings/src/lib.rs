//! Settings files in JSON with comments.
