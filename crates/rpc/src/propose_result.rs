use crate::RpcError;
use crate::control_capnp::propose_reply::{Builder, Reader, Which};
use mangospindle_state::Outcome;

/// Result of proposing a command.
#[derive(Clone, Debug, PartialEq)]
pub enum ProposeResult {
    /// The command was committed and applied with this outcome.
    Outcome(Outcome),
    /// The command is in no replica's log and will not be accepted later.
    NotAccepted,
    /// The command may have been accepted or may be accepted later.
    Unknown,
    /// Like [`NotAccepted`](ProposeResult::NotAccepted): another order for the same subject has followed
    /// the state that the command is based on.
    Outdated,
}

impl ProposeResult {
    /// Writes the result into its Cap'n Proto struct.
    pub(crate) fn write(&self, mut builder: Builder<'_>) -> Result<(), RpcError> {
        match self {
            ProposeResult::Outcome(outcome) => {
                builder.set_outcome(&postcard::to_stdvec(outcome)?);
            }
            ProposeResult::NotAccepted => builder.set_not_accepted(()),
            ProposeResult::Unknown => builder.set_unknown(()),
            ProposeResult::Outdated => builder.set_outdated(()),
        }
        Ok(())
    }
}

impl TryFrom<Reader<'_>> for ProposeResult {
    type Error = RpcError;

    fn try_from(reader: Reader<'_>) -> Result<Self, RpcError> {
        Ok(match reader.which()? {
            Which::Outcome(data) => ProposeResult::Outcome(postcard::from_bytes(data?)?),
            Which::NotAccepted(()) => ProposeResult::NotAccepted,
            Which::Unknown(()) => ProposeResult::Unknown,
            Which::Outdated(()) => ProposeResult::Outdated,
        })
    }
}
