//! Tables of routes and evacuations.

use mangospindle_model::{EndpointService, Route, RouteKey, RouteTable, RouteTarget, Topology};
use mangospindle_state::{
    Actor, ChangesSince, Command, CommandKind, Config, Outcome, RequestId, State,
};
use std::time::Duration;

fn table(number: u64, prefixes: &[&str]) -> RouteTable {
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

fn apply(state: &mut State, index: u64, kind: CommandKind) -> Outcome {
    let command = Command {
        request: RequestId(format!("request-{index}")),
        actor: Actor::Operator("operator".to_string()),
        leader_time_ms: index,
        kind,
    };
    state.apply(index, &command)
}

fn put(number: u64, prefixes: &[&str]) -> CommandKind {
    CommandKind::PutRoutes {
        table: Box::new(table(number, prefixes)),
        document: format!("document {number} {prefixes:?}"),
    }
}

fn started() -> State {
    let mut state = State::new();
    let kind = CommandKind::Bootstrap {
        topology: Topology::default(),
        profiles: Vec::new(),
    };
    let outcome = apply(&mut state, 1, kind);
    assert!(matches!(outcome, Outcome::Done { .. }), "{outcome:?}");
    state
}

/// Guards against tables that revert, that change under the same number, or that are refused when
/// they are sent again.
#[test]
fn the_highest_number_is_in_force() {
    struct Case {
        name: &'static str,
        kind: CommandKind,
        number: u64,
        document: &'static str,
        /// Whether the change is acknowledged.
        done: bool,
    }
    let mut broken = table(9, &["/a/"]);
    broken.services.clear();
    let broken = CommandKind::PutRoutes {
        table: Box::new(broken),
        document: "broken".to_string(),
    };
    let five = "document 5 [\"/a/\", \"/b/\"]";
    let cases = [
        Case {
            name: "first",
            kind: put(2, &["/a/"]),
            number: 2,
            document: "document 2 [\"/a/\"]",
            done: true,
        },
        Case {
            name: "higher",
            kind: put(5, &["/a/", "/b/"]),
            number: 5,
            document: five,
            done: true,
        },
        Case {
            name: "again",
            kind: put(5, &["/a/", "/b/"]),
            number: 5,
            document: five,
            done: true,
        },
        Case {
            name: "other content under the same number",
            kind: put(5, &["/c/"]),
            number: 5,
            document: five,
            done: true,
        },
        Case {
            name: "overtaken",
            kind: put(3, &["/c/"]),
            number: 5,
            document: five,
            done: true,
        },
        Case {
            name: "a service that does not exist",
            kind: broken,
            number: 5,
            document: five,
            done: false,
        },
    ];
    let mut state = started();
    for (n, case) in cases.into_iter().enumerate() {
        let outcome = apply(&mut state, n as u64 + 2, case.kind);
        let done = matches!(outcome, Outcome::Done { .. });
        assert_eq!(done, case.done, "{}: {outcome:?}", case.name);
        assert_eq!(state.config().routes.number, case.number, "{}", case.name);
        assert_eq!(state.route_document(), case.document, "{}", case.name);
    }
}

/// Guards against a holder of an older version that ends up with other routes than the state, and
/// against differences as large as the table.
#[test]
fn differences_lead_to_the_same_table() {
    let many: Vec<String> = (0..300).map(|n| format!("/route-{n}/")).collect();
    let many: Vec<&str> = many.iter().map(String::as_str).collect();
    let mut state = started();
    apply(&mut state, 2, put(2, &many));
    let mut copy: Config = state.config().clone();
    apply(&mut state, 3, put(3, &many[1..]));
    apply(&mut state, 4, put(4, &[&many[1..], &["/new/"]].concat()));
    let kind = CommandKind::SetEvacuation {
        failure_domain: "aosta".to_string(),
        evacuate: true,
    };
    apply(&mut state, 5, kind);
    let ChangesSince::Changes(changes) = state.changes_since(copy.version) else {
        panic!("the changes are kept");
    };
    changes.iter().for_each(|c| copy.apply(c));
    assert_eq!(copy, *state.config());
    assert!(copy.evacuated.contains("aosta"));
    let update = table(2, &many).change_to(&table(3, &many[1..]));
    assert_eq!((update.removed.len(), update.updated.len()), (1, 0));
}

/// Guards against a snapshot that loses what was acknowledged.
#[test]
fn snapshots_keep_routes_and_evacuations() {
    let mut state = started();
    apply(&mut state, 2, put(7, &["/a/"]));
    let kind = CommandKind::SetEvacuation {
        failure_domain: "aosta".to_string(),
        evacuate: true,
    };
    apply(&mut state, 3, kind);
    let restored = State::decode(&state.encode()).expect("a sound snapshot");
    assert_eq!(restored.config(), state.config());
    assert_eq!(restored.route_document(), state.route_document());
}

/// Guards against a first configuration that is refused for good because it comes early.
#[test]
fn routes_before_the_first_configuration_are_refused_for_now() {
    let outcome = apply(&mut State::new(), 1, put(2, &["/a/"]));
    let Outcome::Refused { kind, .. } = outcome else {
        panic!("{outcome:?}");
    };
    assert_eq!(kind.row().status, 503);
}
