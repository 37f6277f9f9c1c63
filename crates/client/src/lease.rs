use crate::{Connection, Pool};
use std::hash::Hash;
use std::sync::Arc;
use std::time::Duration;

/// The right to use one connection for one request. Dropping it closes the connection.
pub struct Lease<T>
where
    T: Copy + Eq + Hash,
{
    pool: Arc<Pool<T>>,
    target: T,
    connection: Option<Connection>,
    reused: bool,
    given_back: bool,
    /// Time of the last use that is kept, for checks that are no use.
    preserved_last_used_at: Option<Duration>,
}

impl<T> Lease<T>
where
    T: Copy + Eq + Hash,
{
    /// A lease of a connection that the pool held.
    pub fn from_idle(pool: Arc<Pool<T>>, target: T, connection: Connection) -> Self {
        Lease {
            pool,
            target,
            connection: Some(connection),
            reused: true,
            given_back: false,
            preserved_last_used_at: None,
        }
    }

    /// A lease of a connection that is counted but still has to be opened.
    pub fn unopened(pool: Arc<Pool<T>>, target: T) -> Self {
        Lease {
            pool,
            target,
            connection: None,
            reused: false,
            given_back: false,
            preserved_last_used_at: None,
        }
    }

    /// Whether the connection has carried an earlier request.
    pub fn is_reused(&self) -> bool {
        self.reused
    }

    /// The connection; `None` while it is being opened.
    pub fn connection(&mut self) -> Option<&mut Connection> {
        self.connection.as_mut()
    }

    /// Sets the connection that was opened for this lease.
    pub fn set_connection(&mut self, connection: Connection) {
        self.connection = Some(connection);
    }

    /// Keeps the time of the last use as it is now: what follows is only a check.
    pub fn preserve_last_used_at(&mut self) {
        self.preserved_last_used_at = self.connection.as_ref().map(|c| c.last_used_at);
    }

    /// Makes the connection available for another request.
    pub fn release(mut self) {
        if let Some(mut connection) = self.connection.take() {
            self.given_back = true;
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
        if !self.given_back {
            self.pool.notify_closed(self.target);
        }
    }
}
