use crate::{Actor, CommandKind, RequestId};
use serde::{Deserialize, Serialize};

/// A command in the replicated log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Command {
    /// Identifies the request across resends.
    pub request: RequestId,
    /// Originator of the command.
    pub actor: Actor,
    /// Wall-clock time at the leader when it accepted the request, in milliseconds since the Unix
    /// epoch. It is recorded in the audit trail. The state machine uses it only to measure the
    /// elapsed time for retention and quarantines.
    pub leader_time_ms: u64,
    /// The operation.
    pub kind: CommandKind,
}
