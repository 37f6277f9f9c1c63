//! Stand-ins for endpoints and the platform's VM list.
