use super::ms;
use mangospindle_model::{RequestClass, Service};
use serde::{Deserialize, Serialize};

/// A service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceWire {
    /// Name.
    pub name: String,
    /// Class of requests that are not reads.
    pub write_class: RequestClass,
    /// Longest deadline.
    pub max_deadline_ms: u64,
    /// Profile that the service runs under; in quotes, the entity tag of the assignment.
    pub profile: String,
}

impl From<&Service> for ServiceWire {
    fn from(service: &Service) -> Self {
        ServiceWire {
            name: service.name.clone(),
            write_class: service.write_class,
            max_deadline_ms: ms(service.max_deadline),
            profile: service.profile.clone(),
        }
    }
}

/// Request to run a service under another profile.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AssignProfileWire {
    /// Name of the profile.
    pub profile: String,
}
