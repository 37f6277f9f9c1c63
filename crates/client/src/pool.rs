use crate::{Connection, ConnectionRequirement, Lease, PoolLookup};
use std::collections::HashMap;
use std::hash::Hash;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Maximum number of idle connections per target. More are needed only during bursts.
const MAX_IDLE_PER_TARGET: usize = 32;

/// Pool of idle connections by target. A connection in use is owned by its [`Lease`].
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

    /// Acquires the idle connection that was validated last, if that was at `validated_after` or
    /// later. Connections that the peer closed or that have expired are closed and skipped.
    pub fn acquire(
        self: &Arc<Self>,
        target: T,
        now: Duration,
        validated_after: Duration,
    ) -> Option<Lease<T>> {
        let requirement = ConnectionRequirement {
            validated_after,
            identified: false,
        };
        self.find(target, now, requirement).lease
    }

    /// Like [`Pool::acquire`], for a connection that meets a requirement. Also tells whether the peer
    /// closed a connection early.
    pub fn find(
        self: &Arc<Self>,
        target: T,
        now: Duration,
        requirement: ConnectionRequirement,
    ) -> PoolLookup<T> {
        let mut closed_early = false;
        while let Some(connection) = self.pop_idle(target, requirement) {
            let expired = connection.expires_at.is_some_and(|until| now >= until);
            if connection.is_reusable() && !expired {
                let lease = Lease::from_idle(Arc::clone(self), target, connection);
                return PoolLookup {
                    lease: Some(lease),
                    closed_early,
                };
            }
            closed_early |= !expired && connection.was_closed_early(now);
            self.close(target, connection);
        }
        PoolLookup {
            lease: None,
            closed_early,
        }
    }

    fn pop_idle(&self, target: T, requirement: ConnectionRequirement) -> Option<Connection> {
        let mut idle = self.lock();
        let list = idle.get_mut(&target)?;
        let index = list.iter().rposition(|c| requirement.is_met_by(c))?;
        Some(list.remove(index))
    }

    /// Acquires the connection whose last validation is the oldest, to check or close it.
    pub fn acquire_oldest(self: &Arc<Self>, target: T) -> Option<Lease<T>> {
        let mut idle = self.lock();
        let list = idle.get_mut(&target).filter(|list| !list.is_empty())?;
        let connection = list.remove(0);
        Some(Lease::from_idle(Arc::clone(self), target, connection))
    }

    /// Acquires all idle connections that were last validated before `validated_before`.
    pub fn acquire_unvalidated(self: &Arc<Self>, validated_before: Duration) -> Vec<(T, Lease<T>)> {
        let mut idle = self.lock();
        let mut unvalidated = Vec::new();
        for (target, list) in idle.iter_mut() {
            for connection in list.extract_if(.., |c| c.validated_at < validated_before) {
                let lease = Lease::from_idle(Arc::clone(self), *target, connection);
                unvalidated.push((*target, lease));
            }
        }
        unvalidated
    }

    /// Whether an idle connection to a target is open.
    pub fn has_open(&self, target: T) -> bool {
        self.has_open_with(target, |_| true)
    }

    /// Whether an idle connection to a target that has a property is open.
    pub fn has_open_with<F>(&self, target: T, property: F) -> bool
    where
        F: Fn(&Connection) -> bool,
    {
        let idle = self.lock();
        let list = idle.get(&target);
        list.is_some_and(|list| list.iter().any(|c| property(c) && !c.is_closed_by_peer()))
    }

    /// Closes the idle connections that the peer closed or on which it sent bytes without a request.
    /// Returns the targets that closed a connection early.
    pub fn close_unusable(&self, now: Duration) -> Vec<T> {
        let mut unusable = Vec::new();
        for (target, list) in self.lock().iter_mut() {
            let closed = list.extract_if(.., |c| c.has_event());
            unusable.extend(closed.map(|c| (*target, c)));
        }
        let mut closed_early = Vec::new();
        for (target, connection) in unusable {
            let expired = connection.expires_at.is_some_and(|until| now >= until);
            if !expired && connection.was_closed_early(now) {
                closed_early.push(target);
            }
            self.close(target, connection);
        }
        closed_early
    }

    /// Closes all idle connections to a target.
    pub fn clear(&self, target: T) {
        let list = self.lock().remove(&target);
        for connection in list.into_iter().flatten() {
            self.close(target, connection);
        }
    }

    /// Adds an idle connection. If the target has too many, the one with the oldest validation is
    /// closed.
    pub fn insert_idle(&self, target: T, connection: Connection) {
        let mut idle = self.lock();
        let list = idle.entry(target).or_default();
        // The list is sorted by the time of the last validation.
        let index = list.partition_point(|c| c.validated_at <= connection.validated_at);
        list.insert(index, connection);
        if list.len() > MAX_IDLE_PER_TARGET {
            let oldest = list.remove(0);
            drop(idle);
            self.close(target, oldest);
        }
    }

    /// Reports a closed connection to `on_closed`.
    pub fn notify_closed(&self, target: T) {
        (self.on_closed)(target);
    }

    fn close(&self, target: T, connection: Connection) {
        drop(connection);
        self.notify_closed(target);
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<T, Vec<Connection>>> {
        // The map is consistent even after a panic: no code panics in the middle of an update.
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
