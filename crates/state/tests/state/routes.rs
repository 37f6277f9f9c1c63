//! Tests of route tables and evacuations.

use mangospindle_model::{EndpointService, Route, RouteKey, RouteTable, RouteTarget, Topology};
use mangospindle_state::{
    Actor, ChangesSince, Command, CommandKind, Config, Outcome, RequestId, State,
};
use std::time::Duration;

fn route_table(number: u64, prefixes: &[&str]) -> RouteTable {
    let service = EndpointService {
        health_path: "/health".to_string(),
        max_connections: 330,
        cold_start: Duration::from_secs(3),
        cold_rate: 5.0,
    };
    let route = |prefix: &str| Route {
        name: format!("r{prefix}"),
        idempotent: true,
        timeout: Some(Duration::from_secs(1)),
        target_latency: Duration::from_millis(400),
        attempts: 2,
        priority: 1,
        targets: vec![RouteTarget {
            service: "s".to_string(),
            weight: 1,
        }],
        sticky: true,
        home_regions: Vec::new(),
    };
    let key = |prefix: &str| RouteKey {
        host: "shop.example".to_string(),
        prefix: prefix.to_string(),
    };
    RouteTable {
        number,
        services: [("s".to_string(), service)].into(),
        routes: prefixes.iter().map(|p| (key(p), route(p))).collect(),
        ..RouteTable::default()
    }
}

fn apply_command(state: &mut State, index: u64, kind: CommandKind) -> Outcome {
    let command = Command {
        request: RequestId(format!("request-{index}")),
        actor: Actor::Operator("operator".to_string()),
        leader_time_ms: index,
        kind,
    };
    state.apply(index, &command)
}

fn put_routes(number: u64, prefixes: &[&str]) -> CommandKind {
    CommandKind::PutRoutes {
        table: Box::new(route_table(number, prefixes)),
        document: format!("document {number} {prefixes:?}"),
    }
}

fn bootstrapped_state() -> State {
    let mut state = State::new();
    let kind = CommandKind::Bootstrap {
        topology: Topology::default(),
        profiles: Vec::new(),
    };
    let outcome = apply_command(&mut state, 1, kind);
    assert!(matches!(outcome, Outcome::Done { .. }), "{outcome:?}");
    state
}

/// Guards against a route table that reverts to a lower number, that changes under the same number,
/// or that is refused when it is sent again.
#[test]
fn highest_numbered_route_table_is_in_force() {
    struct Case {
        name: &'static str,
        kind: CommandKind,
        number: u64,
        document: &'static str,
        /// Whether the command is acknowledged.
        acknowledged: bool,
    }
    let mut invalid = route_table(9, &["/a/"]);
    invalid.services.clear();
    let invalid = CommandKind::PutRoutes {
        table: Box::new(invalid),
        document: "broken".to_string(),
    };
    let document_five = "document 5 [\"/a/\", \"/b/\"]";
    let cases = [
        Case {
            name: "first",
            kind: put_routes(2, &["/a/"]),
            number: 2,
            document: "document 2 [\"/a/\"]",
            acknowledged: true,
        },
        Case {
            name: "higher",
            kind: put_routes(5, &["/a/", "/b/"]),
            number: 5,
            document: document_five,
            acknowledged: true,
        },
        Case {
            name: "resend",
            kind: put_routes(5, &["/a/", "/b/"]),
            number: 5,
            document: document_five,
            acknowledged: true,
        },
        Case {
            name: "other content under the same number",
            kind: put_routes(5, &["/c/"]),
            number: 5,
            document: document_five,
            acknowledged: true,
        },
        Case {
            name: "lower",
            kind: put_routes(3, &["/c/"]),
            number: 5,
            document: document_five,
            acknowledged: true,
        },
        Case {
            name: "a service that does not exist",
            kind: invalid,
            number: 5,
            document: document_five,
            acknowledged: false,
        },
    ];
    let mut state = bootstrapped_state();
    for (n, case) in cases.into_iter().enumerate() {
        let outcome = apply_command(&mut state, n as u64 + 2, case.kind);
        let acknowledged = matches!(outcome, Outcome::Done { .. });
        assert_eq!(
            acknowledged, case.acknowledged,
            "{}: {outcome:?}",
            case.name
        );
        assert_eq!(state.config().routes.number, case.number, "{}", case.name);
        assert_eq!(state.route_document(), case.document, "{}", case.name);
    }
}

/// Guards against a watcher that ends up with other routes than the state, and against route
/// changes that are as large as the table.
#[test]
fn route_changes_lead_to_the_same_table() {
    let all_prefixes: Vec<String> = (0..300).map(|n| format!("/route-{n}/")).collect();
    let all_prefixes: Vec<&str> = all_prefixes.iter().map(String::as_str).collect();
    let mut state = bootstrapped_state();
    apply_command(&mut state, 2, put_routes(2, &all_prefixes));
    let mut watcher_config: Config = state.config().clone();
    apply_command(&mut state, 3, put_routes(3, &all_prefixes[1..]));
    apply_command(
        &mut state,
        4,
        put_routes(4, &[&all_prefixes[1..], &["/new/"]].concat()),
    );
    let kind = CommandKind::SetEvacuation {
        failure_domain: "aosta".to_string(),
        evacuate: true,
    };
    apply_command(&mut state, 5, kind);
    let ChangesSince::Changes(changes) = state.changes_since(watcher_config.version) else {
        panic!("the change history does not reach back to the copy");
    };
    changes.iter().for_each(|c| watcher_config.apply(c));
    assert_eq!(watcher_config, *state.config());
    assert!(watcher_config.evacuated.contains("aosta"));
    let update = route_table(2, &all_prefixes).change_to(&route_table(3, &all_prefixes[1..]));
    assert_eq!((update.removed.len(), update.updated.len()), (1, 0));
}

/// Guards against a snapshot that loses acknowledged routes or evacuations.
#[test]
fn snapshot_preserves_routes_and_evacuations() {
    let mut state = bootstrapped_state();
    apply_command(&mut state, 2, put_routes(7, &["/a/"]));
    let kind = CommandKind::SetEvacuation {
        failure_domain: "aosta".to_string(),
        evacuate: true,
    };
    apply_command(&mut state, 3, kind);
    let restored = State::decode(&state.encode()).expect("the snapshot is valid");
    assert_eq!(restored.config(), state.config());
    assert_eq!(restored.route_document(), state.route_document());
}

/// Guards against a route table that is refused permanently because it arrives before the initial
/// configuration.
#[test]
fn routes_before_bootstrap_are_refused_as_temporary() {
    let outcome = apply_command(&mut State::new(), 1, put_routes(2, &["/a/"]));
    let Outcome::Refused { kind, .. } = outcome else {
        panic!("{outcome:?}");
    };
    assert_eq!(kind.row().status, 503);
}
