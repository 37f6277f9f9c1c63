use crate::Lease;
use std::hash::Hash;

/// Result of looking for an idle connection in a [`Pool`](crate::Pool).
pub struct PoolLookup<T>
where
    T: Copy + Eq + Hash,
{
    /// A connection that can be used.
    pub lease: Option<Lease<T>>,
    /// Whether the peer had closed a connection that was used lately and had not expired.
    pub closed_early: bool,
}
