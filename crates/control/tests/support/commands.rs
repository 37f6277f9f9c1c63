use mangospindle_model::{EndpointId, EntryId, ServiceId};
use mangospindle_state::{Actor, Attempt, ClaimKey, Command, CommandKind, RequestId};

/// Returns the key of the numbered action.
pub fn claim_key(number: u64) -> ClaimKey {
    ClaimKey {
        service: ServiceId(1),
        key: format!("action-{number}"),
    }
}

fn command(request: String, kind: CommandKind) -> Command {
    Command {
        request: RequestId(request),
        actor: Actor::Operator("test".to_string()),
        leader_time_ms: 0,
        kind,
    }
}

/// Returns the command with which the process of entry 0 joins. All claims are made by that process.
pub fn entry_join() -> Command {
    let kind = CommandKind::EntryJoin {
        entry: EntryId(0),
        incarnation: 1,
    };
    command("join".to_string(), kind)
}

/// Returns a command that claims the numbered action.
pub fn claim(number: u64) -> Command {
    let attempt = Attempt {
        entry: EntryId(0),
        incarnation: 1,
        sequence: number,
    };
    let kind = CommandKind::Claim {
        key: claim_key(number),
        digest: [7; 32],
        attempt,
    };
    command(format!("claim-{number}"), kind)
}

/// Returns a command that changes the configuration. Commands with successive numbers set
/// alternating values.
pub fn change(number: u64) -> Command {
    let kind = CommandKind::SetEndpointDrain {
        endpoint: EndpointId(0),
        drain: !number.is_multiple_of(2),
    };
    command(format!("change-{number}"), kind)
}
