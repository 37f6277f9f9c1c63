use crate::RpcError;
use crate::control_capnp::query_reply::{Builder, Reader, Which};
use mangospindle_state::ClaimOutcome;

/// Result of querying the state of an at-most-once action.
#[derive(Clone, Debug, PartialEq)]
pub enum QueryResult {
    /// State of the action. A majority confirmed the replica's state as current after the query
    /// arrived.
    Answer(ClaimOutcome),
    /// The replica could not confirm that its state is current.
    Unconfirmed,
}

impl QueryResult {
    /// Writes the result into its Cap'n Proto struct.
    pub(crate) fn write(&self, mut builder: Builder<'_>) -> Result<(), RpcError> {
        match self {
            QueryResult::Answer(outcome) => builder.set_answer(&postcard::to_stdvec(outcome)?),
            QueryResult::Unconfirmed => builder.set_unconfirmed(()),
        }
        Ok(())
    }
}

impl TryFrom<Reader<'_>> for QueryResult {
    type Error = RpcError;

    fn try_from(reader: Reader<'_>) -> Result<Self, RpcError> {
        Ok(match reader.which()? {
            Which::Answer(data) => QueryResult::Answer(postcard::from_bytes(data?)?),
            Which::Unconfirmed(()) => QueryResult::Unconfirmed,
        })
    }
}
