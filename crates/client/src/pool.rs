use crate::{Connection, Lease};
use std::collections::HashMap;
use std::hash::Hash;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Most idle connections that are kept for one target. More are only needed in bursts.
const MAX_IDLE: usize = 32;

/// Idle connections by target. Connections in use are held by their [`Lease`].
pub struct Pool<T> {
    idle: Mutex<HashMap<T, Vec<Connection>>>,
    on_closed: Box<dyn Fn(T) + Send + Sync>,
}

impl<T> Pool<T>
where
    T: Copy + Eq + Hash,
{
    /// Creates an empty pool; `on_closed` is called for each connection that is closed.
    pub fn new(on_closed: Box<dyn Fn(T) + Send + Sync>) -> Arc<Self> {
        Arc::new(Pool {
            idle: Mutex::default(),
            on_closed,
        })
    }

    /// Takes the idle connection that was used last, if its other side has answered at
    /// `proved_after` or later.
    pub fn acquire(
        self: &Arc<Self>,
        target: T,
        now: Duration,
        proved_after: Duration,
    ) -> Option<Lease<T>> {
        loop {
            let connection = {
                let mut idle = self.lock();
                let list = idle.get_mut(&target)?;
                list.pop_if(|c| c.validated_at >= proved_after)?
            };
            if connection.is_reusable() && connection.expires_at.is_none_or(|until| now < until) {
                return Some(Lease::from_idle(Arc::clone(self), target, connection));
            }
            self.close(target, connection);
        }
    }

    /// Takes the connection that has been idle for longest, to check or close it.
    pub fn acquire_oldest(self: &Arc<Self>, target: T) -> Option<Lease<T>> {
        let mut idle = self.lock();
        let list = idle.get_mut(&target).filter(|list| !list.is_empty())?;
        let connection = list.remove(0);
        Some(Lease::from_idle(Arc::clone(self), target, connection))
    }

    /// Takes the connections that have not proved alive since `proved_before`.
    pub fn acquire_unvalidated(self: &Arc<Self>, proved_before: Duration) -> Vec<(T, Lease<T>)> {
        let mut idle = self.lock();
        let mut unproved = Vec::new();
        for (target, list) in idle.iter_mut() {
            for connection in list.extract_if(.., |c| c.validated_at < proved_before) {
                let lease = Lease::from_idle(Arc::clone(self), *target, connection);
                unproved.push((*target, lease));
            }
        }
        unproved
    }

    /// Closes all idle connections to a target.
    pub fn clear(&self, target: T) {
        let list = self.lock().remove(&target);
        for connection in list.into_iter().flatten() {
            self.close(target, connection);
        }
    }

    /// Keeps a connection for another request.
    pub fn insert_idle(&self, target: T, connection: Connection) {
        let mut idle = self.lock();
        let list = idle.entry(target).or_default();
        // The list stays ordered by the time of the last proof.
        let at = list.partition_point(|c| c.validated_at <= connection.validated_at);
        list.insert(at, connection);
        if list.len() > MAX_IDLE {
            let oldest = list.remove(0);
            drop(idle);
            self.close(target, oldest);
        }
    }

    /// Counts a connection that its lease has closed.
    pub fn notify_closed(&self, target: T) {
        (self.on_closed)(target);
    }

    fn close(&self, target: T, connection: Connection) {
        drop(connection);
        self.notify_closed(target);
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<T, Vec<Connection>>> {
        // No code panics while it holds the lock with the map in a broken state.
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
