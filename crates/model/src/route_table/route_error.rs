use std::fmt;

/// What is wrong with a route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RouteFault {
    /// A target names a service that is not in the table.
    UnknownService(String),
    /// No target has a weight above zero.
    NoTarget,
    /// The timeout is zero.
    NoTimeout,
    /// No attempt is allowed.
    NoAttempts,
}

/// Why a table is refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteError {
    /// Host of the route.
    pub host: String,
    /// Path prefix of the route.
    pub prefix: String,
    /// What is wrong with it.
    pub fault: RouteFault,
}

impl fmt::Display for RouteError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "route {}{}: ", self.host, self.prefix)?;
        match &self.fault {
            RouteFault::UnknownService(name) => write!(f, "there is no service `{name}`"),
            RouteFault::NoTarget => f.write_str("no target has a weight above zero"),
            RouteFault::NoTimeout => f.write_str("the timeout is zero"),
            RouteFault::NoAttempts => f.write_str("no attempt is allowed"),
        }
    }
}

impl std::error::Error for RouteError {}
