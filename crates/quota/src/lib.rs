//! Admission at the owner of an endpoint and pacing of inter-region links.
