//! Guards against answers that are incomplete, ambiguous or of another request reaching a caller.

use crate::fake_endpoint::Act;
use crate::raw_call::{Got, call};
use crate::testbed::testbed;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Want {
    Complete(&'static str),
    Aborted,
    Error(&'static str),
}

struct Case {
    name: &'static str,
    method: &'static str,
    answer: &'static str,
    /// Whether the endpoint closes the connection after the answer.
    close: bool,
    want: Want,
    /// Whether a later request may use the connection.
    reuse: bool,
}

const CASES: [Case; 14] = [
    Case {
        name: "length",
        method: "GET",
        answer: "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nbody",
        close: false,
        want: Want::Complete("body"),
        reuse: true,
    },
    Case {
        name: "chunks with a trailer",
        method: "GET",
        answer: "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nbo\r\n2;x=y\r\ndy\r\n0\r\na: b\r\n\r\n",
        close: false,
        want: Want::Complete("body"),
        reuse: true,
    },
    Case {
        name: "interim answer first",
        method: "GET",
        answer: "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nbody",
        close: false,
        want: Want::Complete("body"),
        reuse: true,
    },
    Case {
        name: "HEAD",
        method: "HEAD",
        answer: "HTTP/1.1 200 OK\r\ncontent-length: 4000\r\n\r\n",
        close: false,
        want: Want::Complete(""),
        reuse: true,
    },
    Case {
        name: "no content",
        method: "GET",
        answer: "HTTP/1.1 204 No Content\r\n\r\n",
        close: false,
        want: Want::Complete(""),
        reuse: true,
    },
    Case {
        name: "truncated length",
        method: "GET",
        answer: "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nbody",
        close: true,
        want: Want::Aborted,
        reuse: false,
    },
    Case {
        name: "truncated between chunks",
        method: "GET",
        answer: "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nbody\r\n",
        close: true,
        want: Want::Aborted,
        reuse: false,
    },
    Case {
        name: "malformed chunk",
        method: "GET",
        answer: "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nbodyXX0\r\n\r\n",
        close: false,
        want: Want::Aborted,
        reuse: false,
    },
    Case {
        name: "no length and no chunks",
        method: "GET",
        answer: "HTTP/1.1 200 OK\r\n\r\nbody",
        close: true,
        want: Want::Error("upstream-failed"),
        reuse: false,
    },
    Case {
        name: "length and chunks",
        method: "GET",
        answer: "HTTP/1.1 200 OK\r\ncontent-length: 4\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
        close: false,
        want: Want::Error("upstream-failed"),
        reuse: false,
    },
    Case {
        name: "two lengths",
        method: "GET",
        answer: "HTTP/1.1 200 OK\r\ncontent-length: 4\r\ncontent-length: 5\r\n\r\nbody",
        close: false,
        want: Want::Error("upstream-failed"),
        reuse: false,
    },
    Case {
        name: "closed before the answer",
        method: "GET",
        answer: "",
        close: true,
        want: Want::Error("upstream-failed"),
        reuse: false,
    },
    Case {
        name: "bytes after the answer",
        method: "GET",
        answer: "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nbodyHTTP/1.1 200 OK\r\n",
        close: false,
        want: Want::Complete("body"),
        reuse: false,
    },
    Case {
        name: "endpoint announces the close",
        method: "GET",
        answer: "HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 4\r\n\r\nbody",
        close: false,
        want: Want::Complete("body"),
        reuse: false,
    },
];

fn decoded(got: &Got) -> String {
    match got.header("transfer-encoding") {
        Some(_) => (got.text().split("\r\n"))
            .enumerate()
            .filter_map(|(i, part)| (i % 2 == 1).then_some(part))
            .collect(),
        None => got.text(),
    }
}

#[actix_web::test]
async fn answers_are_whole_or_visibly_not() {
    for hops in [1, 2] {
        for case in CASES {
            let bed = testbed(0, 1, 3, 30).await;
            let endpoint = &bed.endpoints[0];
            endpoint.script(move |_| {
                let mut acts = vec![Act::Send(case.answer.as_bytes().to_vec())];
                if case.close {
                    acts.push(Act::Close);
                }
                acts
            });
            let request = format!("{} /s/files/x?y=z", case.method);
            let mut connections = Vec::new();
            for _ in 0..4 {
                let got = call(bed.address(hops), &request, "x-deadline-ms: 900\r\n", b"").await;
                let context = format!("{} over {hops}: {got:?}", case.name);
                match case.want {
                    Want::Complete(body) => {
                        assert!(got.complete, "{context}");
                        assert_eq!(decoded(&got), body, "{context}");
                    }
                    // If nothing was passed on yet, the caller gets an error in place of an abort.
                    Want::Aborted => {
                        assert!(
                            !got.complete || got.error() == "upstream-failed",
                            "{context}"
                        );
                    }
                    Want::Error(name) => {
                        assert!(got.complete, "{context}");
                        assert_eq!(got.error(), name, "{context}");
                        assert_eq!(got.header("x-request-run"), Some("unknown"), "{context}");
                    }
                }
                connections.extend(endpoint.requests().last().map(|r| r.connection));
            }
            connections.sort_unstable();
            let before = connections.len();
            connections.dedup();
            assert_eq!(
                connections.len() < before,
                case.reuse,
                "{} over {hops}",
                case.name
            );
        }
    }
}

/// Guards against memory that grows with the size of an answer, and against lost bytes.
#[actix_web::test]
async fn large_answers_pass_whole() {
    const BYTES: usize = 24 * 1024 * 1024;
    for hops in [1, 2] {
        let bed = testbed(0, 1, 3, 30).await;
        bed.endpoints[0].script(|_| {
            let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {BYTES}\r\n\r\n");
            let body = (0..BYTES).map(|i| (i % 251) as u8);
            vec![Act::Send(head.bytes().chain(body).collect())]
        });
        let got = call(bed.address(hops), "GET /s/files/x", "", b"").await;
        assert!(got.complete, "{} bytes over {hops}", got.body.len());
        assert_eq!(got.status, 200, "over {hops}: {}", got.head);
        let wrong = (got.body.iter().enumerate()).find(|(i, b)| **b != (i % 251) as u8);
        assert_eq!(wrong, None, "over {hops}");
    }
}
