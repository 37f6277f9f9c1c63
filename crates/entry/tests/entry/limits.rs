//! Guards against headers, deadlines and identifiers that are passed on wrongly.

use crate::raw_call::call;
use crate::testbed::{MAX_DEADLINE, testbed};
use mangospindle_model::ErrorKind;

struct Case {
    name: &'static str,
    request: &'static str,
    headers: String,
    want: Option<ErrorKind>,
}

#[actix_web::test]
async fn bad_requests_get_errors_of_the_table() {
    let case = |name, request, headers: &str, want| Case {
        name,
        request,
        headers: headers.to_string(),
        want,
    };
    let long = |n: usize| format!("x-long: {}\r\n", "a".repeat(n));
    let cases = [
        case("good", "GET /s/files/x", "", None),
        case("largest headers", "GET /s/files/x", &long(15_000), None),
        case(
            "headers too large",
            "GET /s/files/x",
            &long(17_000),
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
            "deadline is no number",
            "GET /s/files/x",
            "x-deadline-ms: soon\r\n",
            Some(ErrorKind::BadRequest),
        ),
        case(
            "deadline over",
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
    let bed = testbed(0, 1, 3, 30).await;
    for hops in [1, 2] {
        for case in &cases {
            let got = call(bed.address(hops), case.request, &case.headers, b"").await;
            let context = format!("{} over {hops}: {got:?}", case.name);
            let Some(kind) = case.want else {
                assert_eq!(got.status, 200, "{context}");
                continue;
            };
            let row = kind.row();
            assert_eq!(got.status, row.status, "{context}");
            assert_eq!(got.error(), row.name, "{context}");
            let run = got.header("x-request-run");
            assert_eq!(run, Some(row.can_have_run.as_str()), "{context}");
            assert_eq!(
                got.header("retry-after").is_some(),
                row.retry_after,
                "{context}"
            );
            let kind = got.header("content-type");
            assert_eq!(kind, Some("application/problem+json"), "{context}");
            let body: serde_json::Value = serde_json::from_slice(&got.body).unwrap();
            assert_eq!(body["status"], row.status, "{context}");
            let name = body["type"].as_str().unwrap().rsplit(':').next();
            assert_eq!(name, Some(row.name), "{context}");
        }
    }
    // The library's own limit, far above ours, closes the connection as well.
    let got = call(bed.address(1), "GET /s/files/x", &long(200_000), b"").await;
    assert_eq!(got.status, 431);
}

#[actix_web::test]
async fn headers_travel_as_they_should() {
    for hops in [1, 2] {
        let bed = testbed(0, 1, 3, 30).await;
        let headers = "x-request-id: my-id\r\nx-custom: kept\r\nx-hop: dropped\r\nte: trailers\r\n\
                       keep-alive: 5\r\nx-served-by: forged\r\nx-home-region: other\r\n\
                       connection: x-hop\r\nx-deadline-ms: 100000\r\n";
        let got = call(bed.address(hops), "GET /s/files/a%20b/c?d=e", headers, b"").await;
        let seen = bed.endpoints[0].requests().remove(0);
        let deadline: u128 = seen.header("x-deadline-ms").unwrap().parse().unwrap();
        assert!(
            deadline <= MAX_DEADLINE.as_millis(),
            "the service caps the deadline"
        );
        assert!(
            seen.head.starts_with("GET /a%20b/c?d=e HTTP/1.1"),
            "{}",
            seen.head
        );
        let wanted = [
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
        for (name, value) in wanted {
            assert_eq!(
                seen.header(name),
                value,
                "{name} at the endpoint over {hops}"
            );
        }
        let wanted = [
            ("x-request-id", "my-id"),
            ("x-served-region", "home"),
            ("x-served-by", "endpoint-0"),
            ("x-home-region", "home"),
        ];
        for (name, value) in wanted {
            assert_eq!(
                got.header(name),
                Some(value),
                "{name} at the caller over {hops}"
            );
        }
        let short = "x-deadline-ms: 700\r\n";
        let got = call(bed.address(hops), "GET /s/files/x", short, b"").await;
        let seen = bed.endpoints[0].requests().remove(1);
        let deadline: u64 = seen.header("x-deadline-ms").unwrap().parse().unwrap();
        assert!(
            deadline < 700 && deadline > 500,
            "the deadline shrinks: {deadline}"
        );
        let made = got.header("x-request-id").unwrap();
        assert_eq!(
            seen.header("x-request-id"),
            Some(made),
            "made by the first entry"
        );
        let explain = format!("GET /v1/explain?request={made}");
        let ingress = if hops == 1 { &bed.far } else { &bed.near };
        let why = call(ingress.internal_address(), &explain, "", b"")
            .await
            .text();
        assert!(
            why.contains("owner_chosen") && why.contains("answered"),
            "{why}"
        );
    }
}
