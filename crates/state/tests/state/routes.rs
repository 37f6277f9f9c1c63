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

fn put_first_routes(number: u64, prefixes: &[&str]) -> CommandKind {
    CommandKind::PutFirstRoutes {
        table: Box::new(route_table(number, prefixes)),
        workspaces: Box::default(),
        document: format!("document {number} {prefixes:?}"),
    }
}

/// Guards against a first table with number 0 that is acknowledged and lost (review/10), that counts as
/// none later, or that takes the place of another table.
#[test]
fn first_table_may_have_number_zero() {
    struct Case {
        name: &'static str,
        kinds: Vec<CommandKind>,
        number: u64,
        routes: usize,
        document: &'static str,
    }
    let evacuation = || CommandKind::SetEvacuation {
        failure_domain: "aosta".to_string(),
        evacuate: true,
    };
    let without_content = || CommandKind::PutFirstRoutes {
        table: Box::default(),
        workspaces: Box::default(),
        document: "nothing".to_string(),
    };
    let cases = [
        Case {
            name: "first",
            kinds: vec![put_first_routes(0, &["/a/", "/b/"])],
            number: 0,
            routes: 2,
            document: "document 0 [\"/a/\", \"/b/\"]",
        },
        Case {
            name: "after an evacuation",
            kinds: vec![evacuation(), put_first_routes(0, &["/a/"])],
            number: 0,
            routes: 1,
            document: "document 0 [\"/a/\"]",
        },
        Case {
            name: "other content under the same number",
            kinds: vec![
                put_first_routes(0, &["/a/"]),
                put_first_routes(0, &["/c/", "/d/"]),
            ],
            number: 0,
            routes: 1,
            document: "document 0 [\"/a/\"]",
        },
        Case {
            name: "other content after a table without any",
            kinds: vec![without_content(), put_first_routes(0, &["/c/"])],
            number: 0,
            routes: 0,
            document: "nothing",
        },
        Case {
            name: "followed by the next one",
            kinds: vec![
                put_first_routes(0, &["/a/"]),
                put_routes(1, &["/a/", "/b/"]),
            ],
            number: 1,
            routes: 2,
            document: "document 1 [\"/a/\", \"/b/\"]",
        },
        Case {
            name: "late",
            kinds: vec![
                put_routes(1, &["/a/", "/b/"]),
                put_first_routes(0, &["/c/"]),
            ],
            number: 1,
            routes: 2,
            document: "document 1 [\"/a/\", \"/b/\"]",
        },
        Case {
            // Replicas of the build before this one do the same.
            name: "with the command for a higher number",
            kinds: vec![put_routes(0, &["/a/"])],
            number: 0,
            routes: 0,
            document: "",
        },
        Case {
            name: "the highest number",
            kinds: vec![
                put_routes(u64::MAX, &["/a/"]),
                put_first_routes(0, &["/c/", "/d/"]),
            ],
            number: u64::MAX,
            routes: 1,
            document: "document 18446744073709551615 [\"/a/\"]",
        },
    ];
    for case in cases {
        let mut state = bootstrapped_state();
        let mut watcher_config: Config = state.config().clone();
        for (kind, index) in case.kinds.into_iter().zip(2..) {
            let outcome = apply_command(&mut state, index, kind);
            assert!(
                matches!(outcome, Outcome::Done { .. }),
                "{}: {outcome:?}",
                case.name
            );
            // What is in force must not change with a snapshot.
            state = State::decode(&state.encode()).expect("the snapshot is valid");
        }
        match state.changes_since(watcher_config.version) {
            ChangesSince::Changes(changes) => changes.iter().for_each(|c| watcher_config.apply(c)),
            ChangesSince::Full(config) => watcher_config = config.clone(),
        }
        for config in [state.config(), &watcher_config] {
            assert_eq!(config.routes.number, case.number, "{}", case.name);
            assert_eq!(config.routes.routes.len(), case.routes, "{}", case.name);
            let has_content = case.number > 0 || case.routes > 0;
            assert_eq!(config.routes.is_set(), has_content, "{}", case.name);
        }
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
