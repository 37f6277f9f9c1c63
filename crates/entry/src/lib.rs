//! The entry VM: lookup, forwarding and ownership of endpoints.
