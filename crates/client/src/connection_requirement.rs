use crate::Connection;
use std::time::Duration;

/// What a request requires of an idle connection.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConnectionRequirement {
    /// The peer responded on the connection, or accepted it, at this time of the local clock or later.
    pub validated_after: Duration,
    /// The last response on the connection had the id of its request. A second copy of a response
    /// without an id could not be told from the response to the next request.
    pub identified: bool,
}

impl ConnectionRequirement {
    pub(crate) fn is_met_by(&self, connection: &Connection) -> bool {
        connection.validated_at >= self.validated_after
            && (connection.last_response_identified || !self.identified)
    }
}
