use crate::permit_guard::PermitGuard;
use mangospindle_model::ServiceId;
use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Time to live of a reservation whose upload has not arrived.
pub(crate) const RESERVATION_TTL: Duration = Duration::from_secs(1);

/// Permits that are reserved for uploads.
pub(crate) struct Reservations {
    permits: Mutex<HashMap<String, (ServiceId, PermitGuard)>>,
}

impl Reservations {
    /// Creates an empty collection.
    pub(crate) fn new() -> Self {
        Reservations {
            permits: Mutex::default(),
        }
    }

    /// Stores a permit and returns the identifier of the reservation.
    pub(crate) fn add(&self, service: ServiceId, permit: PermitGuard) -> String {
        let id = uuid::Uuid::new_v4().simple().to_string();
        self.lock().insert(id.clone(), (service, permit));
        id
    }

    /// Removes a reservation and returns its permit, if it exists and is for this service.
    pub(crate) fn take(&self, id: &str, service: ServiceId) -> Option<PermitGuard> {
        let reserved = self.lock().remove(id);
        reserved
            .filter(|(s, _)| *s == service)
            .map(|(_, permit)| permit)
    }

    /// Releases the slot of a reservation that was not used.
    pub(crate) fn expire(&self, id: &str) {
        let unused = self.lock().remove(id);
        drop(unused);
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<String, (ServiceId, PermitGuard)>> {
        // The map stays consistent if a thread panics while it holds the lock.
        self.permits.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
