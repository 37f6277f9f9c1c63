//! Guards against headers, deadlines and identifiers that are forwarded incorrectly.

use crate::raw_response::send_request;
use crate::test_cluster::{MAX_DEADLINE, start_cluster};
use mangospindle_model::ErrorKind;

struct Case {
    name: &'static str,
    request: &'static str,
    headers: String,
    expected_error: Option<ErrorKind>,
}

#[actix_web::test]
async fn invalid_requests_get_the_documented_errors() {
    let case = |name, request, headers: &str, expected_error| Case {
        name,
        request,
        headers: headers.to_string(),
        expected_error,
    };
    let long_header = |n: usize| format!("x-long: {}\r\n", "a".repeat(n));
    let cases = [
        case("valid request", "GET /s/files/x", "", None),
        case(
            "largest headers",
            "GET /s/files/x",
            &long_header(15_000),
            None,
        ),
        case(
            "headers too large",
            "GET /s/files/x",
            &long_header(17_000),
            Some(ErrorKind::HeadersTooLarge),
        ),
        case(
            "unknown service",
            "GET /s/none/x",
            "",
            Some(ErrorKind::UnknownService),
        ),
        case(
            "unknown path",
            "GET /nowhere",
            "",
            Some(ErrorKind::NotFound),
        ),
        case(
            "internal path",
            "GET /metrics",
            "",
            Some(ErrorKind::NotFound),
        ),
        case(
            "no endpoint",
            "GET /s/acts/x",
            "",
            Some(ErrorKind::NoEndpoint),
        ),
        case(
            "deadline is not a number",
            "GET /s/files/x",
            "x-deadline-ms: soon\r\n",
            Some(ErrorKind::BadRequest),
        ),
        case(
            "deadline is zero",
            "GET /s/files/x",
            "x-deadline-ms: 0\r\n",
            Some(ErrorKind::DeadlineBeforeDispatch),
        ),
        case(
            "lookup without a service",
            "GET /v1/lookup",
            "",
            Some(ErrorKind::BadRequest),
        ),
        case(
            "lookup of an unknown service",
            "GET /v1/lookup?service=none",
            "",
            Some(ErrorKind::UnknownService),
        ),
    ];
    let cluster = start_cluster(0, 1, 3, 30).await;
    for hops in [1, 2] {
        for case in &cases {
            let response =
                send_request(cluster.address(hops), case.request, &case.headers, b"").await;
            let context = format!("{} with {hops} hops: {response:?}", case.name);
            let Some(kind) = case.expected_error else {
                assert_eq!(response.status, 200, "{context}");
                continue;
            };
            let row = kind.row();
            assert_eq!(response.status, row.status, "{context}");
            assert_eq!(response.error(), row.name, "{context}");
            let run = response.header("x-request-run");
            assert_eq!(run, Some(row.can_have_run.as_str()), "{context}");
            assert_eq!(
                response.header("retry-after").is_some(),
                row.retry_after,
                "{context}"
            );
            let kind = response.header("content-type");
            assert_eq!(kind, Some("application/problem+json"), "{context}");
            let body: serde_json::Value = serde_json::from_slice(&response.body).unwrap();
            assert_eq!(body["status"], row.status, "{context}");
            let name = body["type"].as_str().unwrap().rsplit(':').next();
            assert_eq!(name, Some(row.name), "{context}");
        }
    }
    // Beyond the limit of the HTTP library, which is far above the entry's own limit, the library
    // rejects the request and closes the connection.
    let response = send_request(
        cluster.address(1),
        "GET /s/files/x",
        &long_header(200_000),
        b"",
    )
    .await;
    assert_eq!(response.status, 431);
}

#[actix_web::test]
async fn headers_are_forwarded_or_dropped() {
    for hops in [1, 2] {
        let cluster = start_cluster(0, 1, 3, 30).await;
        let headers = "x-request-id: my-id\r\nx-custom: kept\r\nx-hop: dropped\r\nte: trailers\r\n\
                       keep-alive: 5\r\nx-served-by: forged\r\nx-home-region: other\r\n\
                       connection: x-hop\r\nx-deadline-ms: 100000\r\n";
        let response = send_request(
            cluster.address(hops),
            "GET /s/files/a%20b/c?d=e",
            headers,
            b"",
        )
        .await;
        let received = cluster.endpoints[0].requests().remove(0);
        let deadline: u128 = received.header("x-deadline-ms").unwrap().parse().unwrap();
        assert!(
            deadline <= MAX_DEADLINE.as_millis(),
            "the deadline exceeds the limit of the service"
        );
        assert!(
            received.head.starts_with("GET /a%20b/c?d=e HTTP/1.1"),
            "{}",
            received.head
        );
        let expected_headers = [
            ("x-request-id", Some("my-id")),
            ("x-custom", Some("kept")),
            ("x-home-region", Some("home")),
            ("x-hop", None),
            ("te", None),
            ("keep-alive", None),
            ("x-served-by", None),
            ("x-ingress-entry", None),
            ("x-permit", None),
        ];
        for (name, value) in expected_headers {
            assert_eq!(
                received.header(name),
                value,
                "{name} at the endpoint with {hops} hops"
            );
        }
        let expected_headers = [
            ("x-request-id", "my-id"),
            ("x-served-region", "home"),
            ("x-served-by", "endpoint-0"),
            ("x-home-region", "home"),
        ];
        for (name, value) in expected_headers {
            assert_eq!(
                response.header(name),
                Some(value),
                "{name} at the caller with {hops} hops"
            );
        }
        let short_deadline = "x-deadline-ms: 700\r\n";
        let response =
            send_request(cluster.address(hops), "GET /s/files/x", short_deadline, b"").await;
        let received = cluster.endpoints[0].requests().remove(1);
        let deadline: u64 = received.header("x-deadline-ms").unwrap().parse().unwrap();
        assert!(
            deadline < 700 && deadline > 500,
            "the forwarded deadline is {deadline} ms"
        );
        let generated_id = response.header("x-request-id").unwrap();
        assert_eq!(
            received.header("x-request-id"),
            Some(generated_id),
            "the endpoint and the caller see different generated identifiers"
        );
        let explain_request = format!("GET /v1/explain?request={generated_id}");
        let ingress = if hops == 1 {
            &cluster.far
        } else {
            &cluster.near
        };
        let explanation = send_request(ingress.internal_address(), &explain_request, "", b"")
            .await
            .text();
        assert!(
            explanation.contains("owner_chosen") && explanation.contains("answered"),
            "{explanation}"
        );
    }
}
