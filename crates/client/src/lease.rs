use crate::{Connection, Pool};
use std::hash::Hash;
use std::sync::Arc;
use std::time::Duration;

/// Exclusive use of one connection for one request. Dropping the lease closes the connection.
pub struct Lease<T>
where
    T: Copy + Eq + Hash,
{
    pool: Arc<Pool<T>>,
    target: T,
    connection: Option<Connection>,
    reused: bool,
    released: bool,
    /// Time of the last use to restore on release, if the lease is used for a check only.
    preserved_last_used_at: Option<Duration>,
}

impl<T> Lease<T>
where
    T: Copy + Eq + Hash,
{
    /// Creates a lease of a connection that was idle in the pool.
    pub fn from_idle(pool: Arc<Pool<T>>, target: T, connection: Connection) -> Self {
        Lease {
            pool,
            target,
            connection: Some(connection),
            reused: true,
            released: false,
            preserved_last_used_at: None,
        }
    }

    /// Creates a lease of a connection that is counted but not open yet.
    pub fn unopened(pool: Arc<Pool<T>>, target: T) -> Self {
        Lease {
            pool,
            target,
            connection: None,
            reused: false,
            released: false,
            preserved_last_used_at: None,
        }
    }

    /// The target to which the connection leads.
    pub fn target(&self) -> T {
        self.target
    }

    /// Whether the connection has carried an earlier request.
    pub fn is_reused(&self) -> bool {
        self.reused
    }

    /// The connection; `None` if it is not open yet.
    pub fn connection(&mut self) -> Option<&mut Connection> {
        self.connection.as_mut()
    }

    /// Sets the connection that was opened for this lease.
    pub fn set_connection(&mut self, connection: Connection) {
        self.connection = Some(connection);
    }

    /// Preserves the time of the last use, so that a health check does not count as use.
    pub fn preserve_last_used_at(&mut self) {
        self.preserved_last_used_at = self.connection.as_ref().map(|c| c.last_used_at);
    }

    /// Returns the connection to the pool for another request.
    pub fn release(mut self) {
        if let Some(mut connection) = self.connection.take() {
            self.released = true;
            connection.last_used_at = self
                .preserved_last_used_at
                .unwrap_or(connection.last_used_at);
            self.pool.insert_idle(self.target, connection);
        }
    }
}

impl<T> Drop for Lease<T>
where
    T: Copy + Eq + Hash,
{
    fn drop(&mut self) {
        // The connection is closed before it is counted as closed.
        self.connection = None;
        if !self.released {
            self.pool.notify_closed(self.target);
        }
    }
}
