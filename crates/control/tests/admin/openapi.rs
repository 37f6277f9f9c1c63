use crate::support::profile;
use mangospindle_allowance::WorkspaceUsage;
use mangospindle_control::admin::ROUTES;
use mangospindle_control::admin::wire::{ProfileWire, WorkspaceWire};
use mangospindle_model::{Allowance, ErrorKind, Workspace};
use serde_json::Value;
use std::collections::BTreeSet;

fn object_keys(object: &Value) -> BTreeSet<String> {
    object
        .as_object()
        .into_iter()
        .flatten()
        .map(|(k, _)| k.clone())
        .collect()
}

/// Guards against an OpenAPI document that differs from the routes, the schemas of profiles and
/// workspaces, or the problem types.
#[test]
fn openapi_document_matches_api() {
    let document: Value =
        serde_json::from_str(include_str!("../../../../docs/openapi.json")).unwrap();
    let mut documented = BTreeSet::new();
    for (path, item) in document["paths"].as_object().unwrap() {
        for (method, operation) in item.as_object().unwrap() {
            let role = operation["x-role"].as_str().map(str::to_string);
            let id = operation["operationId"].as_str().unwrap().to_string();
            documented.insert((method.to_uppercase(), path.clone(), id, role));
            let parameters: BTreeSet<_> =
                (operation["parameters"].as_array().into_iter().flatten())
                    .map(|p| match p["$ref"].as_str() {
                        Some(reference) => document.pointer(&reference[1..]).unwrap(),
                        None => p,
                    })
                    .map(|p| p["name"].as_str().unwrap().to_string())
                    .collect();
            for segment in path.split('{').skip(1) {
                let name = segment.split('}').next().unwrap();
                assert!(parameters.contains(name), "{method} {path}: {name}");
            }
            assert_eq!(
                parameters.contains("Idempotency-Key"),
                method != "get",
                "{method} {path}"
            );
            let problem = &operation["responses"]["default"]["$ref"];
            assert_eq!(problem, "#/components/responses/Problem", "{method} {path}");
        }
    }
    let routes: BTreeSet<_> = (ROUTES.iter())
        .map(|r| {
            let name = format!("{:?}", r.operation);
            let id = name[..1].to_lowercase() + &name[1..];
            let role = r.role.map(|role| role.as_str().to_string());
            (r.method.to_string(), r.path.to_string(), id, role)
        })
        .collect();
    assert_eq!(documented, routes);
    let schemas = &document["components"]["schemas"];
    let wire = serde_json::to_value(ProfileWire::from(&profile("p", 1))).unwrap();
    assert_eq!(
        object_keys(&schemas["Profile"]["properties"]),
        object_keys(&wire)
    );
    let usage = WorkspaceUsage {
        workspace: "w".to_string(),
        allowance: Allowance {
            rate: 1.0,
            burst: 1.0,
        },
        offered_rate: 0.0,
        level: None,
        rejected: 0,
    };
    let workspace = Workspace {
        allowance: Some(usage.allowance),
        ..Workspace::default()
    };
    let wire = serde_json::to_value(WorkspaceWire::new("w", &workspace, Some(&usage))).unwrap();
    for (schema, wire) in [
        ("Workspace", &wire),
        ("Allowance", &wire["allowance"]),
        ("WorkspaceUsage", &wire["usage"]),
    ] {
        let documented = object_keys(&schemas[schema]["properties"]);
        assert_eq!(documented, object_keys(wire), "{schema}");
    }
    let documented_types: BTreeSet<_> = (schemas["Problem"]["properties"]["type"]["enum"]
        .as_array()
        .unwrap())
    .iter()
    .map(|v| v.as_str().unwrap().to_string())
    .collect();
    let problem_types: BTreeSet<_> = (ErrorKind::ALL.iter())
        .map(|k| format!("urn:mangospindle:problem:{}", k.row().name))
        .collect();
    assert_eq!(documented_types, problem_types);
}
