use crate::RequestClass;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// A service that callers address by name.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Unique name, used in request paths.
    pub name: String,
    /// Class of requests whose method is neither `GET` nor `HEAD`.
    pub write_class: RequestClass,
    /// Longest deadline that is ever sent to an endpoint. A new owner of a lost owner's endpoints
    /// waits this long, because requests of the lost owner may run until then.
    pub max_deadline: Duration,
    /// Name of the profile the service runs under.
    pub profile: String,
}
