use super::EndpointService;
use super::route_error::RouteFault;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// What selects a route. Written as one text, so that it can be a key in every format.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub struct RouteKey {
    /// Host name.
    pub host: String,
    /// Beginning of the path; begins and ends with a slash.
    pub prefix: String,
}

impl From<RouteKey> for String {
    fn from(key: RouteKey) -> String {
        key.host + &key.prefix
    }
}

impl TryFrom<String> for RouteKey {
    type Error = String;

    fn try_from(text: String) -> Result<Self, String> {
        match text.find('/') {
            Some(at) => Ok(RouteKey {
                host: text[..at].to_string(),
                prefix: text[at..].to_string(),
            }),
            None => Err(format!("`{text}` has no path")),
        }
    }
}

/// A service that a route sends requests to, with its share.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteTarget {
    /// Name of the service.
    pub service: String,
    /// Share of the requests, relative to the other targets of the route.
    pub weight: u32,
}

/// How requests of one kind are served.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Name for logs.
    pub name: String,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// Longest time that a caller is kept waiting.
    pub timeout: Option<Duration>,
    /// Time within which an answer has its full value to the caller.
    pub target_latency: Duration,
    /// Endpoints that one request may be sent to at most.
    pub attempts: u32,
    /// Rank; 0 is the highest.
    pub priority: u32,
    /// Where requests go. At least one.
    pub targets: Vec<RouteTarget>,
    /// Whether an endpoint is faster on an object that it has handled recently.
    pub sticky: bool,
    /// Regions that may serve the route; all of them if empty.
    pub home_regions: Vec<String>,
}

impl Route {
    pub(super) fn validate(
        &self,
        services: &BTreeMap<String, EndpointService>,
    ) -> Result<(), RouteFault> {
        let unknown = |target: &&RouteTarget| !services.contains_key(&target.service);
        match self.targets.iter().find(unknown) {
            Some(target) => return Err(RouteFault::UnknownService(target.service.clone())),
            None if self.targets.iter().all(|t| t.weight == 0) => {
                return Err(RouteFault::NoTarget);
            }
            None => {}
        }
        match self {
            Route { timeout, .. } if *timeout == Some(Duration::ZERO) => Err(RouteFault::NoTimeout),
            Route { attempts: 0, .. } => Err(RouteFault::NoAttempts),
            _ => Ok(()),
        }
    }
}
