use crate::{Actor, CommandKind, RequestId};
use serde::{Deserialize, Serialize};

/// An entry of the replicated log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Command {
    /// Identifies the request across resends.
    pub request: RequestId,
    /// Who asked.
    pub actor: Actor,
    /// Wall-clock time at the leader when it accepted the request, in milliseconds since the Unix
    /// epoch. Recorded in the audit trail; the state machine only uses it to forget old claims.
    pub leader_time_ms: u64,
    /// What to do.
    pub kind: CommandKind,
}
