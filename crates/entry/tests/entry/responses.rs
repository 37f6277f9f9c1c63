//! Guards against incomplete or ambiguous responses, or responses to another request, that reach a
//! caller.

use crate::fake_endpoint::ScriptStep;
use crate::raw_response::{RawResponse, send_request};
use crate::test_cluster::start_cluster;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Expected {
    Complete(&'static str),
    Aborted,
    Error(&'static str),
}

struct Case {
    name: &'static str,
    method: &'static str,
    endpoint_response: &'static str,
    /// Whether the endpoint closes the connection after the response.
    close: bool,
    expected: Expected,
    /// Whether a later request reuses the connection.
    reuse: bool,
}

const CASES: [Case; 19] = [
    Case {
        name: "content length",
        method: "GET",
        endpoint_response: "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nbody",
        close: false,
        expected: Expected::Complete("body"),
        reuse: true,
    },
    Case {
        name: "chunked with a trailer",
        method: "GET",
        endpoint_response: "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nbo\r\n2;x=y\r\ndy\r\n0\r\na: b\r\n\r\n",
        close: false,
        expected: Expected::Complete("body"),
        reuse: true,
    },
    Case {
        name: "interim response first",
        method: "GET",
        endpoint_response: "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nbody",
        close: false,
        expected: Expected::Complete("body"),
        reuse: true,
    },
    Case {
        name: "HEAD",
        method: "HEAD",
        endpoint_response: "HTTP/1.1 200 OK\r\ncontent-length: 4000\r\n\r\n",
        close: false,
        expected: Expected::Complete(""),
        reuse: true,
    },
    Case {
        name: "no content",
        method: "GET",
        endpoint_response: "HTTP/1.1 204 No Content\r\n\r\n",
        close: false,
        expected: Expected::Complete(""),
        reuse: true,
    },
    Case {
        name: "body shorter than the content length",
        method: "GET",
        endpoint_response: "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nbody",
        close: true,
        expected: Expected::Aborted,
        reuse: false,
    },
    Case {
        name: "truncated between chunks",
        method: "GET",
        endpoint_response: "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nbody\r\n",
        close: true,
        expected: Expected::Aborted,
        reuse: false,
    },
    Case {
        name: "malformed chunk",
        method: "GET",
        endpoint_response: "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nbodyXX0\r\n\r\n",
        close: false,
        expected: Expected::Aborted,
        reuse: false,
    },
    Case {
        name: "neither content length nor chunked",
        method: "GET",
        endpoint_response: "HTTP/1.1 200 OK\r\n\r\nbody",
        close: true,
        expected: Expected::Error("upstream-failed"),
        reuse: false,
    },
    Case {
        name: "content length and chunked",
        method: "GET",
        endpoint_response: "HTTP/1.1 200 OK\r\ncontent-length: 4\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
        close: false,
        expected: Expected::Error("upstream-failed"),
        reuse: false,
    },
    Case {
        name: "two content lengths",
        method: "GET",
        endpoint_response: "HTTP/1.1 200 OK\r\ncontent-length: 4\r\ncontent-length: 5\r\n\r\nbody",
        close: false,
        expected: Expected::Error("upstream-failed"),
        reuse: false,
    },
    Case {
        name: "closed before the response",
        method: "GET",
        endpoint_response: "",
        close: true,
        expected: Expected::Error("upstream-failed"),
        reuse: false,
    },
    Case {
        name: "bytes after the response",
        method: "GET",
        endpoint_response: "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nbodyHTTP/1.1 200 OK\r\n",
        close: false,
        expected: Expected::Complete("body"),
        reuse: false,
    },
    Case {
        name: "connection: close",
        method: "GET",
        endpoint_response: "HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 4\r\n\r\nbody",
        close: false,
        expected: Expected::Complete("body"),
        reuse: false,
    },
    Case {
        name: "blank before the colon of a length",
        method: "GET",
        endpoint_response: "HTTP/1.1 200 OK\r\ncontent-length : 2\r\n\r\nbody",
        close: false,
        expected: Expected::Error("upstream-failed"),
        reuse: false,
    },
    Case {
        name: "tab before the colon of a length",
        method: "GET",
        endpoint_response: "HTTP/1.1 200 OK\r\ncontent-length\t: 2\r\n\r\nbody",
        close: false,
        expected: Expected::Error("upstream-failed"),
        reuse: false,
    },
    Case {
        name: "blank before the colon of another field",
        method: "GET",
        endpoint_response: "HTTP/1.1 200 OK\r\ncontent-length: 4\r\nx-note : a\r\n\r\nbody",
        close: false,
        expected: Expected::Error("upstream-failed"),
        reuse: false,
    },
    Case {
        name: "blank at the start of a name",
        method: "GET",
        endpoint_response: "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n x-note: a\r\n\r\nbody",
        close: false,
        expected: Expected::Error("upstream-failed"),
        reuse: false,
    },
    Case {
        name: "control byte in a name",
        method: "GET",
        endpoint_response: "HTTP/1.1 200 OK\r\ncontent-length: 4\r\nx-\u{1}note: a\r\n\r\nbody",
        close: false,
        expected: Expected::Error("upstream-failed"),
        reuse: false,
    },
];

fn decode_body(response: &RawResponse) -> String {
    match response.header("transfer-encoding") {
        Some(_) => (response.text().split("\r\n"))
            .enumerate()
            .filter_map(|(i, line)| (i % 2 == 1).then_some(line))
            .collect(),
        None => response.text(),
    }
}

#[actix_web::test]
async fn responses_are_complete_or_visibly_incomplete() {
    for hops in [1, 2] {
        for case in CASES {
            let cluster = start_cluster(0, 1, 3, 30).await;
            let endpoint = &cluster.endpoints[0];
            endpoint.set_script(move |_| {
                let mut steps = vec![ScriptStep::Send(case.endpoint_response.as_bytes().to_vec())];
                if case.close {
                    steps.push(ScriptStep::Close);
                }
                steps
            });
            let request = format!("{} /s/files/x?y=z", case.method);
            let mut connections = Vec::new();
            for _ in 0..4 {
                let response = send_request(
                    cluster.address(hops),
                    &request,
                    "x-deadline-ms: 900\r\n",
                    b"",
                )
                .await;
                let context = format!("{} with {hops} hops: {response:?}", case.name);
                match case.expected {
                    Expected::Complete(body) => {
                        assert!(response.complete, "{context}");
                        assert_eq!(decode_body(&response), body, "{context}");
                    }
                    // If nothing was forwarded yet, the caller gets an error instead of an aborted
                    // response.
                    Expected::Aborted => {
                        assert!(
                            !response.complete || response.error() == "upstream-failed",
                            "{context}"
                        );
                    }
                    Expected::Error(name) => {
                        assert!(response.complete, "{context}");
                        assert_eq!(response.error(), name, "{context}");
                        assert_eq!(
                            response.header("x-request-run"),
                            Some("unknown"),
                            "{context}"
                        );
                    }
                }
                connections.extend(endpoint.requests().last().map(|r| r.connection));
            }
            connections.sort_unstable();
            let total = connections.len();
            connections.dedup();
            assert_eq!(
                connections.len() < total,
                case.reuse,
                "{} with {hops} hops",
                case.name
            );
        }
    }
}

/// Guards against responses that are buffered completely, and against lost bytes.
#[actix_web::test]
async fn large_responses_are_forwarded_completely() {
    const BODY_BYTES: usize = 24 * 1024 * 1024;
    for hops in [1, 2] {
        let cluster = start_cluster(0, 1, 3, 30).await;
        cluster.endpoints[0].set_script(|_| {
            let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {BODY_BYTES}\r\n\r\n");
            let body = (0..BODY_BYTES).map(|i| (i % 251) as u8);
            vec![ScriptStep::Send(head.bytes().chain(body).collect())]
        });
        let response = send_request(cluster.address(hops), "GET /s/files/x", "", b"").await;
        assert!(
            response.complete,
            "{} bytes with {hops} hops",
            response.body.len()
        );
        assert_eq!(response.status, 200, "with {hops} hops: {}", response.head);
        let mismatch = (response.body.iter().enumerate()).find(|(i, b)| **b != (i % 251) as u8);
        assert_eq!(mismatch, None, "with {hops} hops");
    }
}
