use mangospindle_model::{EndpointId, EntryId, ServiceId};
use mangospindle_state::{Actor, Attempt, ClaimKey, Command, CommandKind, RequestId};

pub fn key(number: u64) -> ClaimKey {
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

/// Lets the process of entry 0 join, which makes the claims.
pub fn join() -> Command {
    let kind = CommandKind::EntryJoin {
        entry: EntryId(0),
        incarnation: 1,
    };
    command("join".to_string(), kind)
}

/// Claims the action with a number.
pub fn claim(number: u64) -> Command {
    let attempt = Attempt {
        entry: EntryId(0),
        incarnation: 1,
        sequence: number,
    };
    let kind = CommandKind::Claim {
        key: key(number),
        digest: [7; 32],
        attempt,
    };
    command(format!("claim-{number}"), kind)
}

/// Changes the configuration; successive numbers alternate.
pub fn change(number: u64) -> Command {
    let kind = CommandKind::SetEndpointDrain {
        endpoint: EndpointId(0),
        drain: !number.is_multiple_of(2),
    };
    command(format!("change-{number}"), kind)
}
