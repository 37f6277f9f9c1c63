//! Reading workspaces.

use crate::backend::{StateBackend, WORKSPACE_KEYS};
use actix_web::{App, test};
use mangospindle_control::admin::{AdminContext, Tokens, configure, configure_workspaces};
use mangospindle_model::KeyDigest;
use std::sync::Arc;

struct Case {
    /// The failure that the case guards against.
    guards: &'static str,
    path: &'static str,
    status: u16,
    /// What the body must contain.
    contains: &'static [&'static str],
}

const CASES: &[Case] = &[
    Case {
        guards: "a list that omits a workspace or a field",
        path: "/v1/workspaces",
        status: 200,
        contains: &[
            r#"{"workspaces":[{"name":"a/b%","priority":0,"home_regions":[],"key_digests":[]"#,
            r#""allowance":{"rate":467.5,"burst":400.0},"usage":null},{"name":"open""#,
            r#""allowance":null,"usage":null},{"name":"yefi","priority":1,"home_regions":["r0","r1"]"#,
            r#""usage":{"offered_rate":512.25,"level":-3.5,"rejected_over_allowance":42}}],"more":false}"#,
        ],
    },
    Case {
        guards: "a page that repeats the workspace it starts after, or hides that more follow",
        path: "/v1/workspaces?after=a%2Fb%25&limit=1",
        status: 200,
        contains: &[r#"{"workspaces":[{"name":"open""#, r#"}],"more":true}"#],
    },
    Case {
        guards: "a last page that says that more follow",
        path: "/v1/workspaces?after=open&limit=1",
        status: 200,
        contains: &[r#"{"workspaces":[{"name":"yefi""#, r#"}],"more":false}"#],
    },
    Case {
        guards: "a page after the last name that fails",
        path: "/v1/workspaces?after=z",
        status: 200,
        contains: &[r#"{"workspaces":[],"more":false}"#],
    },
    Case {
        guards: "a limit that makes a page without workspaces",
        path: "/v1/workspaces?limit=0",
        status: 400,
        contains: &["limit is 1 to 10000"],
    },
    Case {
        guards: "a page that is too large to be read",
        path: "/v1/workspaces?limit=10001",
        status: 400,
        contains: &["limit is 1 to 10000"],
    },
    Case {
        guards: "a misspelled parameter that is ignored",
        path: "/v1/workspaces?from=a",
        status: 400,
        contains: &["unknown field"],
    },
    Case {
        guards: "a workspace that is shown without its usage",
        path: "/v1/workspaces/yefi",
        status: 200,
        contains: &[r#"{"name":"yefi""#, r#""offered_rate":512.25"#],
    },
    Case {
        guards: "a name with reserved characters that cannot be read",
        path: "/v1/workspaces/a%2Fb%25",
        status: 200,
        contains: &[r#"{"name":"a/b%""#],
    },
    Case {
        guards: "an unknown name that is answered like a workspace without settings",
        path: "/v1/workspaces/none",
        status: 404,
        contains: &["not-found", "no workspace `none`"],
    },
];

/// Reads a path and returns the status and the body.
async fn get(context: AdminContext, all: bool, path: &str) -> (u16, String) {
    let app = App::new().configure(move |app| match all {
        true => configure(context)(app),
        false => configure_workspaces(context)(app),
    });
    let app = test::init_service(app).await;
    let request = test::TestRequest::with_uri(path).to_request();
    let response = test::call_service(&app, request).await;
    let status = response.status().as_u16();
    let body = test::read_body(response).await;
    (status, String::from_utf8(body.to_vec()).unwrap())
}

/// Guards against answers about workspaces that are incomplete or wrong, and against a listener for
/// reading workspaces that answers differently from the whole API.
#[actix_web::test]
async fn workspaces_are_shown_with_settings_and_usage() {
    let backend = Arc::new(StateBackend::with_workspaces());
    for case in CASES {
        for all in [true, false] {
            let context = AdminContext::new(backend.clone(), Tokens::default());
            let (status, body) = get(context, all, case.path).await;
            let at = format!("{} ({}, {all}): {body}", case.path, case.guards);
            assert_eq!(status, case.status, "{at}");
            for part in case.contains {
                assert!(body.contains(part), "{part}: {at}");
            }
        }
    }
}

/// Guards against an answer that contains a key, and against digests that cannot be compared with the
/// digest of a known key.
#[actix_web::test]
async fn keys_are_shown_as_digests_only() {
    let backend = Arc::new(StateBackend::with_workspaces());
    let mut bodies = String::new();
    for path in (CASES.iter().map(|case| case.path)).chain(["/v1/audit", "/v1/status"]) {
        let context = AdminContext::new(backend.clone(), Tokens::default());
        bodies += &get(context, true, path).await.1;
    }
    assert!(bodies.contains("update_routes"), "{bodies}");
    for key in WORKSPACE_KEYS {
        assert!(!bodies.contains(key), "{key}: {bodies}");
        let digest = KeyDigest::of(key.as_bytes()).to_string();
        assert_eq!(digest.len(), 16);
        assert!(bodies.contains(&format!("\"{digest}\"")), "{digest}");
    }
}

/// Guards against a listener for reading workspaces that also changes or shows other things.
#[actix_web::test]
async fn listener_for_workspaces_serves_nothing_else() {
    let backend = Arc::new(StateBackend::with_workspaces());
    for path in [
        "/v1/profiles",
        "/v1/audit",
        "/v1/status",
        "/v1/endpoints",
        "/metrics",
    ] {
        let context = AdminContext::new(backend.clone(), Tokens::default());
        assert_eq!(get(context, false, path).await.0, 404, "{path}");
    }
}
