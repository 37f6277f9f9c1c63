use crate::backend::StateBackend;
use crate::support::profile;
use actix_web::http::{Method, header};
use actix_web::{App, test};
use mangospindle_control::admin::wire::ProfileWire;
use mangospindle_control::admin::{AdminContext, MAX_BODY_BYTES, Tokens, configure};
use serde_json::Value;
use std::sync::Arc;

/// A sequence of requests that run on the same state.
struct Case {
    /// The failure that the case guards against.
    guards: &'static str,
    /// Each line has a method, path, headers, body, `=>`, the expected status, and the expected
    /// content: an `ETag` or a substring of the response body, such as a problem name. `#a` is an
    /// `Idempotency-Key`, `=N` a quoted `If-Match`, `unquoted` an `If-Match` without quotes, and
    /// `*` an `If-None-Match`. `profile(NAME,LIMIT)` and `large` are bodies.
    requests: &'static [&'static str],
}

fn body(text: &str) -> String {
    let arguments = text
        .strip_prefix("profile(")
        .and_then(|t| t.strip_suffix(')'));
    match arguments.and_then(|a| a.split_once(',')) {
        Some((name, limit)) => {
            let wire = ProfileWire::from(&profile(name, limit.parse().unwrap()));
            serde_json::to_string(&wire).unwrap()
        }
        None if text == "large" => format!("\"{}\"", "x".repeat(MAX_BODY_BYTES)),
        None => text.to_string(),
    }
}

async fn run_case(case: &Case) {
    let cx = AdminContext::new(Arc::new(StateBackend::new()), Tokens::default());
    let app = test::init_service(App::new().configure(configure(cx))).await;
    for line in case.requests {
        let (request, expected) = line.split_once(" => ").unwrap();
        let (expected_status, expected_content) = expected.split_once(' ').unwrap();
        let mut words = request.split(' ');
        let method = Method::from_bytes(words.next().unwrap().as_bytes()).unwrap();
        let mut req = test::TestRequest::with_uri(words.next().unwrap()).method(method);
        for word in words {
            req = match (word.split_at(1), word) {
                (("#", key), _) => req.insert_header(("Idempotency-Key", key)),
                (("=", tag), _) => req.insert_header(("If-Match", format!("\"{tag}\""))),
                (_, "*") => req.insert_header(("If-None-Match", "*")),
                (_, "unquoted") => req.insert_header(("If-Match", "1")),
                (_, text) => {
                    (req.insert_header(header::ContentType::json())).set_payload(body(text))
                }
            };
        }
        let response = test::call_service(&app, req.to_request()).await;
        let status = response.status().as_u16();
        let headers = response.headers().clone();
        let text = |name: &str| headers.get(name).map_or("", |v| v.to_str().unwrap());
        let response_body = test::read_body(response).await;
        let response_body = String::from_utf8(response_body.to_vec()).unwrap();
        let context = format!(
            "{line} ({}): {status} {} {response_body}",
            case.guards,
            text("etag")
        );
        assert_eq!(status.to_string(), expected_status, "{context}");
        assert!(
            response_body.contains(expected_content) || text("etag") == expected_content,
            "{context}"
        );
        if status >= 400 {
            let problem: Value = serde_json::from_str(&response_body).unwrap();
            assert_eq!(
                text("content-type"),
                "application/problem+json",
                "{context}"
            );
            assert_eq!(problem["status"], status, "{context}");
            assert_eq!(problem["request_run"], text("x-request-run"), "{context}");
            assert_eq!(text("retry-after").is_empty(), status != 503, "{context}");
        }
    }
}

#[actix_web::test]
async fn requests_change_state_only_after_their_checks() {
    let cases = [
        Case {
            guards: "a lost update, a retry that is applied twice, or a change without a version",
            requests: &[
                r#"GET /v1/profiles/p => 200 "1""#,
                r#"PUT /v1/profiles/p =1 #a profile(p,5) => 200 "2""#,
                r#"PUT /v1/profiles/p =1 #b profile(p,6) => 412 "current_version":2"#,
                r#"PUT /v1/profiles/p =1 #a profile(p,5) => 200 "2""#,
                r#"PUT /v1/profiles/p =2 #a profile(p,7) => 422 idempotency-key-reused"#,
                r#"PUT /v1/profiles/p #c profile(p,7) => 428 missing-version"#,
                r#"PUT /v1/profiles/p =2 profile(p,7) => 400 missing-idempotency-key"#,
                r#"PUT /v1/profiles/p unquoted #c profile(p,7) => 400 bad-request"#,
                r#"GET /v1/profiles/p/history => 200 "cross_region_limit":5"#,
                r#"GET /v1/profiles/p => 200 "cross_region_limit":5"#,
            ],
        },
        Case {
            guards: "creating a profile that exists, or deleting one that is in use or has changed",
            requests: &[
                r#"PUT /v1/profiles/new * #a profile(new,5) => 200 version"#,
                r#"PUT /v1/profiles/new * #b profile(new,5) => 412 version-conflict"#,
                r#"DELETE /v1/profiles/p =1 #c => 422 runs under"#,
                r#"DELETE /v1/profiles/new =2 #d => 412 version-conflict"#,
                r#"DELETE /v1/profiles/new =1 #e => 200 version"#,
                r#"GET /v1/profiles/new => 404 not-found"#,
                r#"GET /v1/profiles/new/history => 200 delete_profile"#,
            ],
        },
        Case {
            guards: "a malformed request that reaches the log",
            requests: &[
                r#"PUT /v1/services/s/profile =p #a {"profile":"q","x":1} => 400 unknown field"#,
                r#"PUT /v1/profiles/p =1 #a {"name":"p","extra":1} => 400 unknown field"#,
                r#"PUT /v1/profiles/p =1 #a profile(other,5) => 400 differ"#,
                r#"PUT /v1/profiles/p =1 #a large => 400 bad-request"#,
                r#"PUT /v1/endpoints/x0/drain #a {"drain":1} => 400 bad-request"#,
                r#"GET /v1/audit?limit=0 => 400 limit"#,
                r#"GET /v1/audit?page=1 => 400 unknown field"#,
                r#"GET /v1/nothing => 404 not-found"#,
                r#"GET /v1/profiles/p => 200 "1""#,
            ],
        },
        Case {
            guards: "changes to services, regions, endpoints or entries that bypass validation",
            requests: &[
                r#"PUT /v1/services/s/profile =p #b {"profile":"q"} => 200 "q""#,
                r#"PUT /v1/services/s/profile =p #c {"profile":"q"} => 412 runs under `q`"#,
                r#"PUT /v1/services/t/profile =p #c {"profile":"q"} => 404 not-found"#,
                r#"PUT /v1/regions/r0/limit =100 #d {"max_in_progress":50} => 200 "50""#,
                r#"PUT /v1/regions/r0/limit =100 #e {"max_in_progress":60} => 412 "current_version":50"#,
                r#"PUT /v1/endpoints/x0/drain #f {"drain":true} => 200 version"#,
                r#"GET /v1/endpoints => 200 "drain":true,"owner":"a0","epoch":1"#,
                r#"GET /v1/entries => 200 "status":"active","incarnation":"00000000000000ab""#,
                r#"POST /v1/vms/a0/fence #g {"incarnation":"00000000000000ac"} => 200 version"#,
                r#"GET /v1/entries => 200 "status":"active""#,
                r#"POST /v1/vms/a0/fence #h {"incarnation":"ab"} => 400 hex"#,
                r#"POST /v1/vms/a0/fence #h {"incarnation":"00000000000000ab"} => 200 version"#,
                r#"GET /v1/entries => 200 "status":"fenced""#,
                r#"GET /v1/audit?after=5&limit=1 => 200 assign_profile"#,
                r#"POST /v1/entries #i {"name":"e1","failure_domain":"d0","public_address":"127.0.0.1:8","internal_address":"127.0.0.1:9"} => 200 version"#,
                r#"POST /v1/endpoints #j {"name":"x9","service":"s","failure_domain":"none","address":"127.0.0.1:7","slots":3,"max_connections":9} => 422 none"#,
                r#"POST /v1/endpoints #k {"name":"x9","service":"s","failure_domain":"d0","address":"127.0.0.1:7","slots":3,"max_connections":9} => 200 version"#,
            ],
        },
        Case {
            guards: "reads that omit their data, or expose the recorded response body of an action",
            requests: &[
                r#"GET /v1/actions/s/k%2F1%25 => 200 "state":"completed","answer_status":201,"answer_bytes":5}"#,
                r#"GET /v1/actions/s/k2 => 404 not-found"#,
                r#"GET /v1/actions/t/k1 => 404 not-found"#,
                r#"GET /v1/status => 200 "confirmation_age_ms":40"#,
                r#"GET /v1/regions => 200 "max_in_progress":100"#,
                r#"GET /v1/services => 200 "max_deadline_ms":30000"#,
                r#"GET /v1/profiles => 200 "delay_ms":50"#,
                r#"GET /livez => 200 live"#,
                r#"GET /readyz => 503 no-quorum"#,
                r#"GET /metrics => 200 mangospindle_up 1"#,
            ],
        },
    ];
    for case in &cases {
        run_case(case).await;
    }
}
