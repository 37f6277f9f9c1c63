use crate::permit_guard::PermitGuard;
use mangospindle_model::ServiceId;
use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// How long a reservation is kept for the upload that it was made for.
pub(crate) const RESERVATION_TTL: Duration = Duration::from_secs(1);

/// Permits that wait for the uploads that they were reserved for.
pub(crate) struct Reservations {
    permits: Mutex<HashMap<String, (ServiceId, PermitGuard)>>,
}

impl Reservations {
    /// No reservations.
    pub(crate) fn new() -> Self {
        Reservations {
            permits: Mutex::default(),
        }
    }

    /// Keeps a permit and returns the name of the reservation.
    pub(crate) fn add(&self, service: ServiceId, permit: PermitGuard) -> String {
        let id = uuid::Uuid::new_v4().simple().to_string();
        self.lock().insert(id.clone(), (service, permit));
        id
    }

    /// Takes the permit of a reservation, if it is still valid for the service.
    pub(crate) fn take(&self, id: &str, service: ServiceId) -> Option<PermitGuard> {
        let reserved = self.lock().remove(id);
        reserved
            .filter(|(s, _)| *s == service)
            .map(|(_, permit)| permit)
    }

    /// Gives the slot of a reservation back, if it was not used.
    pub(crate) fn expire(&self, id: &str) {
        let unused = self.lock().remove(id);
        drop(unused);
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<String, (ServiceId, PermitGuard)>> {
        // Map operations leave the map whole.
        self.permits.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
