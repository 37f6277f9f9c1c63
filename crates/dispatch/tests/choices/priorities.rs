//! Tests of the order in which requests are refused while endpoints are full.

use crate::support::{NOW, dispatcher, ms, record, request};
use mangospindle_dispatch::Request;
use mangospindle_model::{
    EndpointService, Route, RouteKey, RouteTable, RouteTarget, Workspace, WorkspaceTable,
};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Two routes to the service with priorities 0 and 1, and workspaces with priorities 2 and 5.
fn route_table() -> RouteTable {
    let service = EndpointService {
        health_path: "/health".to_string(),
        max_connections: 330,
        cold_start: ms(3_000),
        cold_rate: 5.0,
    };
    let route = |priority: u32| {
        let key = RouteKey {
            host: "shop.example".to_string(),
            prefix: format!("/{priority}/"),
        };
        let route = Route {
            name: format!("r{priority}"),
            idempotent: true,
            timeout: None,
            target_latency: ms(0),
            attempts: 1,
            priority,
            targets: vec![RouteTarget {
                service: "s".to_string(),
                weight: 1,
            }],
            sticky: false,
            home_regions: Vec::new(),
        };
        (key, route)
    };
    let workspace = |priority: u32| {
        let workspace = Workspace {
            priority,
            ..Workspace::default()
        };
        (format!("w{priority}"), workspace)
    };
    RouteTable {
        number: 2,
        services: BTreeMap::from([("s".to_string(), service)]),
        routes: [0, 1].map(route).into(),
        workspaces: WorkspaceTable {
            workspaces: [2, 5].map(workspace).into(),
            public_routes: BTreeSet::new(),
        },
        ..RouteTable::default()
    }
}

/// Number of requests that one endpoint gets before further ones of this kind are refused.
fn accepted_requests(priority: u32, workspace_priority: Option<u32>) -> usize {
    let mut dispatcher = dispatcher(&[record(1, "a")]);
    dispatcher.update_routes(NOW, Arc::new(route_table()), BTreeSet::new());
    let request = Request {
        priority,
        workspace_priority,
        target_latency: ms(0),
        ..request()
    };
    let mut accepted = 0;
    while dispatcher.choose(NOW, &request).is_ok() {
        accepted += 1;
    }
    accepted
}

/// Guards against requests of lower priority that keep those of higher priority out of full endpoints, and
/// against a route's priority that goes before its workspace's.
#[test]
fn room_is_left_for_higher_priorities() {
    struct Case {
        name: &'static str,
        higher: (u32, Option<u32>),
        lower: (u32, Option<u32>),
    }
    let cases = [
        Case {
            name: "routes, without workspaces",
            higher: (0, None),
            lower: (1, None),
        },
        Case {
            name: "routes, in the same workspace",
            higher: (0, Some(2)),
            lower: (1, Some(2)),
        },
        Case {
            name: "workspaces, on the same route",
            higher: (0, Some(2)),
            lower: (0, Some(5)),
        },
        Case {
            name: "the workspace goes before the route",
            higher: (1, Some(2)),
            lower: (0, Some(5)),
        },
    ];
    for case in cases {
        let higher = accepted_requests(case.higher.0, case.higher.1);
        let lower = accepted_requests(case.lower.0, case.lower.1);
        assert!(higher > lower, "{}: {higher} and {lower}", case.name);
    }
    assert_eq!(accepted_requests(0, None), accepted_requests(0, Some(2)));
}
