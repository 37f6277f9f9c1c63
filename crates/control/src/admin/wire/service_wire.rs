use super::duration_ms;
use mangospindle_model::{RequestClass, Service};
use serde::{Deserialize, Serialize};

/// A service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceWire {
    /// Name of the service.
    pub name: String,
    /// Class of the requests that are not reads.
    pub write_class: RequestClass,
    /// Maximum deadline of a request, in milliseconds.
    pub max_deadline_ms: u64,
    /// Name of the profile that the service uses. In quotes, it is the entity tag of the
    /// assignment.
    pub profile: String,
}

impl From<&Service> for ServiceWire {
    fn from(service: &Service) -> Self {
        ServiceWire {
            name: service.name.clone(),
            write_class: service.write_class,
            max_deadline_ms: duration_ms(service.max_deadline),
            profile: service.profile.clone(),
        }
    }
}

/// Request to assign another profile to a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AssignProfileWire {
    /// Name of the profile.
    pub profile: String,
}
