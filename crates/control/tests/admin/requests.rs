use crate::backend::{StateBackend, profile};
use actix_web::http::{Method, header};
use actix_web::{App, test};
use mangospindle_control::admin::wire::ProfileWire;
use mangospindle_control::admin::{AdminContext, MAX_BODY_BYTES, Tokens, configure};
use serde_json::{Value, json};
use std::sync::Arc;

/// A request and what its answer must hold. The requests of a case run on one state.
struct Request {
    /// Method, path and headers, as in `PUT /v1/x If-Match="1"`. `#a` is an `Idempotency-Key`.
    line: &'static str,
    body: Option<String>,
    status: u16,
    /// A problem name, an `ETag`, or a part of the body.
    holds: &'static str,
}

struct Case {
    /// The failure that the case guards against.
    guards: &'static str,
    requests: Vec<Request>,
}

fn get(line: &'static str, status: u16, holds: &'static str) -> Request {
    Request {
        line,
        body: None,
        status,
        holds,
    }
}

fn send(line: &'static str, body: Value, status: u16, holds: &'static str) -> Request {
    Request {
        body: Some(body.to_string()),
        ..get(line, status, holds)
    }
}

fn body(name: &str, limit: u32) -> Value {
    let wire = ProfileWire::from(&profile(name));
    let mut value = serde_json::to_value(wire).unwrap();
    value["cross_region_limit"] = json!(limit);
    value
}

async fn run(case: Case) {
    let cx = AdminContext::new(Arc::new(StateBackend::new()), Tokens::default());
    let app = test::init_service(App::new().configure(configure(cx))).await;
    for request in case.requests {
        let at = format!("{} ({})", request.line, case.guards);
        let mut words = request.line.split(' ');
        let method = Method::from_bytes(words.next().unwrap().as_bytes()).unwrap();
        let mut req = test::TestRequest::with_uri(words.next().unwrap()).method(method);
        for word in words {
            req = match (word.strip_prefix('#'), word.split_once('=')) {
                (Some(key), _) => req.insert_header(("Idempotency-Key", key)),
                (None, Some(pair)) => req.insert_header(pair),
                (None, None) => panic!("{word}"),
            };
        }
        if let Some(body) = request.body {
            req = req
                .insert_header(header::ContentType::json())
                .set_payload(body);
        }
        let response = test::call_service(&app, req.to_request()).await;
        let status = response.status().as_u16();
        let headers = response.headers().clone();
        let text = |name: &str| headers.get(name).map_or("", |v| v.to_str().unwrap());
        let (etag, run) = (text("etag").to_string(), text("x-request-run").to_string());
        let (kind, retry) = (
            text("content-type").to_string(),
            text("retry-after").to_string(),
        );
        let answer = test::read_body(response).await;
        let answer = String::from_utf8(answer.to_vec()).unwrap();
        assert_eq!(status, request.status, "{at}: {answer}");
        assert!(
            answer.contains(request.holds) || etag == request.holds,
            "{at}: {etag} {answer}"
        );
        if status >= 400 {
            let problem: Value = serde_json::from_str(&answer).unwrap();
            assert_eq!(kind, "application/problem+json", "{at}");
            assert_eq!(problem["status"], status, "{at}");
            assert_eq!(problem["request_run"], run.as_str(), "{at}");
            assert_eq!(retry.is_empty(), status != 503, "{at}");
        }
    }
}

#[actix_web::test]
async fn changes() {
    let mut extra = body("calm", 5);
    extra["extra"] = json!(1);
    let cases = [
        Case {
            guards: "a lost update, a lost resend, or a change without a version",
            requests: vec![
                get("GET /v1/profiles/calm", 200, "\"1\""),
                send(
                    "PUT /v1/profiles/calm If-Match=\"1\" #a",
                    body("calm", 5),
                    200,
                    "\"2\"",
                ),
                send(
                    "PUT /v1/profiles/calm If-Match=\"1\" #b",
                    body("calm", 6),
                    412,
                    "\"current_version\":2",
                ),
                send(
                    "PUT /v1/profiles/calm If-Match=\"1\" #a",
                    body("calm", 5),
                    200,
                    "\"2\"",
                ),
                send(
                    "PUT /v1/profiles/calm If-Match=\"2\" #a",
                    body("calm", 7),
                    422,
                    "idempotency-key-reused",
                ),
                send(
                    "PUT /v1/profiles/calm #c",
                    body("calm", 7),
                    428,
                    "missing-version",
                ),
                send(
                    "PUT /v1/profiles/calm If-Match=\"2\"",
                    body("calm", 7),
                    400,
                    "missing-idempotency-key",
                ),
                send(
                    "PUT /v1/profiles/calm If-Match=2 #c",
                    body("calm", 7),
                    400,
                    "bad-request",
                ),
                get(
                    "GET /v1/profiles/calm/history",
                    200,
                    "\"cross_region_limit\":5",
                ),
                get("GET /v1/profiles/calm", 200, "\"cross_region_limit\":5"),
            ],
        },
        Case {
            guards: "creating over an existing profile, or deleting one in use or unseen",
            requests: vec![
                send(
                    "PUT /v1/profiles/new If-None-Match=* #a",
                    body("new", 5),
                    200,
                    "version",
                ),
                send(
                    "PUT /v1/profiles/new If-None-Match=* #b",
                    body("new", 5),
                    412,
                    "version-conflict",
                ),
                get(
                    "DELETE /v1/profiles/calm If-Match=\"1\" #c",
                    422,
                    "runs under",
                ),
                get(
                    "DELETE /v1/profiles/new If-Match=\"2\" #d",
                    412,
                    "version-conflict",
                ),
                get("DELETE /v1/profiles/new If-Match=\"1\" #e", 200, "version"),
                get("GET /v1/profiles/new", 404, "not-found"),
                get("GET /v1/profiles/new/history", 200, "delete_profile"),
            ],
        },
        Case {
            guards: "a malformed body reaching the log",
            requests: vec![
                send(
                    "PUT /v1/profiles/calm If-Match=\"1\" #a",
                    extra,
                    400,
                    "unknown field",
                ),
                send(
                    "PUT /v1/profiles/calm If-Match=\"1\" #a",
                    body("other", 5),
                    400,
                    "differ",
                ),
                send(
                    "PUT /v1/profiles/calm If-Match=\"1\" #a",
                    json!("x".repeat(MAX_BODY_BYTES)),
                    400,
                    "bad-request",
                ),
                send(
                    "PUT /v1/endpoints/x0/drain #a",
                    json!({"drain": 1}),
                    400,
                    "bad-request",
                ),
                get("GET /v1/audit?limit=0", 400, "limit"),
                get("GET /v1/audit?page=1", 400, "unknown field"),
                get("GET /v1/nothing", 404, "not-found"),
                get("GET /v1/profiles/calm", 200, "\"1\""),
            ],
        },
        Case {
            guards: "services, regions, endpoints or entries changing without their checks",
            requests: vec![
                send(
                    "PUT /v1/profiles/new If-None-Match=* #a",
                    body("new", 5),
                    200,
                    "version",
                ),
                send(
                    "PUT /v1/services/s/profile If-Match=\"calm\" #b",
                    json!({"profile": "new"}),
                    200,
                    "\"new\"",
                ),
                send(
                    "PUT /v1/services/s/profile If-Match=\"calm\" #c",
                    json!({"profile": "new"}),
                    412,
                    "runs under `new`",
                ),
                send(
                    "PUT /v1/services/t/profile If-Match=\"calm\" #c",
                    json!({"profile": "new"}),
                    404,
                    "not-found",
                ),
                send(
                    "PUT /v1/regions/r0/limit If-Match=\"100\" #d",
                    json!({"max_in_progress": 50}),
                    200,
                    "\"50\"",
                ),
                send(
                    "PUT /v1/regions/r0/limit If-Match=\"100\" #e",
                    json!({"max_in_progress": 60}),
                    412,
                    "\"current_version\":50",
                ),
                send(
                    "PUT /v1/endpoints/x0/drain #f",
                    json!({"drain": true}),
                    200,
                    "version",
                ),
                get(
                    "GET /v1/endpoints",
                    200,
                    "\"drain\":true,\"owner\":\"e0\",\"epoch\":1",
                ),
                get(
                    "GET /v1/entries",
                    200,
                    "\"status\":\"active\",\"incarnation\":\"00000000000000ab\"",
                ),
                send(
                    "POST /v1/vms/e0/fence #g",
                    json!({"incarnation": "00000000000000ac"}),
                    200,
                    "version",
                ),
                get("GET /v1/entries", 200, "\"status\":\"active\""),
                send(
                    "POST /v1/vms/e0/fence #h",
                    json!({"incarnation": "ab"}),
                    400,
                    "hex",
                ),
                send(
                    "POST /v1/vms/e0/fence #h",
                    json!({"incarnation": "00000000000000ab"}),
                    200,
                    "version",
                ),
                get("GET /v1/entries", 200, "\"status\":\"fenced\""),
                get("GET /v1/audit?after=3&limit=1", 200, "put_profile"),
                send(
                    "POST /v1/entries #i",
                    json!({"name": "e1", "failure_domain": "d0", "public_address": "127.0.0.1:8", "internal_address": "127.0.0.1:9"}),
                    200,
                    "version",
                ),
                send(
                    "POST /v1/endpoints #j",
                    json!({"name": "x1", "service": "s", "failure_domain": "none", "address": "127.0.0.1:7", "slots": 3, "max_connections": 9}),
                    422,
                    "none",
                ),
            ],
        },
        Case {
            guards: "reads that show nothing, or the recorded answer of a caller",
            requests: vec![
                get(
                    "GET /v1/actions/s/k%2F1%25",
                    200,
                    "\"state\":\"completed\",\"answer_status\":201,\"answer_bytes\":5}",
                ),
                get("GET /v1/actions/s/k2", 404, "not-found"),
                get("GET /v1/actions/t/k1", 404, "not-found"),
                get("GET /v1/status", 200, "\"confirmation_age_ms\":40"),
                get("GET /v1/regions", 200, "\"max_in_progress\":100"),
                get("GET /v1/services", 200, "\"max_deadline_ms\":30000"),
                get("GET /v1/profiles", 200, "\"delay_ms\":50"),
                get("GET /livez", 200, "live"),
                get("GET /readyz", 503, "no-quorum"),
                get("GET /metrics", 200, "mangospindle_up 1"),
            ],
        },
    ];
    for case in cases {
        run(case).await;
    }
}
