//! Guards against at-most-once actions that run twice, or whose result is reported wrongly.

use crate::fake_control::Mode;
use crate::fake_endpoint::{Act, ok};
use crate::raw_call::call;
use crate::testbed::testbed;
use std::time::Duration;

struct Case {
    name: &'static str,
    mode: Mode,
    claim_ms: u64,
    /// Answer of the endpoint to the first request; later ones are answered with `done`.
    first: Vec<Act>,
    key: &'static str,
    /// Error of the first request; empty for an answer.
    want: &'static str,
    /// Error of a resend through the other entry; empty for an answer.
    resend: &'static str,
    /// Executions after both.
    runs: usize,
    /// State of the key after both.
    state: &'static str,
}

fn cases() -> Vec<Case> {
    let base = |name| Case {
        name,
        mode: Mode::Agree,
        claim_ms: 0,
        first: ok("done"),
        key: "k",
        want: "",
        resend: "",
        runs: 1,
        state: "completed",
    };
    let answer = |text: &str| vec![Act::ReadBody, Act::Send(text.into()), Act::Close];
    vec![
        base("answered and replayed"),
        Case {
            mode: Mode::NotAccepted,
            want: "no-quorum",
            resend: "no-quorum",
            runs: 0,
            state: "",
            ..base("no majority")
        },
        Case {
            mode: Mode::LoseFirst,
            want: "no-quorum",
            ..base("result of the claim is lost; it is released and a resend runs")
        },
        Case {
            first: answer(""),
            want: "outcome-unknown",
            resend: "outcome-unknown",
            state: "unknown",
            ..base("the endpoint closes without an answer")
        },
        Case {
            first: answer("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhalf"),
            want: "outcome-unknown",
            resend: "outcome-unknown",
            state: "unknown",
            ..base("the answer ends early")
        },
        Case {
            first: answer("HTTP/1.1 503 Busy\r\nx-request-run: no\r\ncontent-length: 0\r\n\r\n"),
            want: "shed",
            runs: 2,
            ..base("the endpoint proves that it did not run the action; a resend runs")
        },
        Case {
            first: [vec![Act::Wait(1300)], ok("late")].concat(),
            want: "outcome-unknown",
            resend: "outcome-unknown",
            state: "unknown",
            ..base("the answer comes after the deadline")
        },
        Case {
            claim_ms: 1200,
            want: "deadline-before-dispatch",
            runs: 0,
            resend: "deadline-before-dispatch",
            state: "not_found",
            ..base("the process stops between the claim and the first byte")
        },
        Case {
            key: "",
            want: "missing-idempotency-key",
            resend: "missing-idempotency-key",
            runs: 0,
            state: "",
            ..base("no key")
        },
    ]
}

#[actix_web::test]
async fn actions_run_at_most_once() {
    for hops in [1, 2] {
        for case in cases() {
            let bed = testbed(1, 1, 3, 30).await;
            let endpoint = &bed.endpoints[0];
            let first = case.first.clone();
            let seen = endpoint.seen.clone();
            endpoint.script(move |_| match seen.lock().unwrap().len() {
                1 => first.clone(),
                _ => ok("done"),
            });
            *bed.control.mode.lock().unwrap() = case.mode;
            *bed.control.delay.lock().unwrap() = Duration::from_millis(case.claim_ms);
            let headers = match case.key {
                "" => "x-deadline-ms: 1000\r\n".to_string(),
                key => format!("idempotency-key: {key}\r\nx-deadline-ms: 1000\r\n"),
            };
            let post = "POST /s/acts/x";
            let got = call(bed.address(hops), post, &headers, b"pay").await;
            let context = format!("{} over {hops}: {got:?}", case.name);
            assert_eq!(got.error(), case.want, "{context}");
            if case.want.is_empty() {
                assert_eq!(
                    (got.status, got.text().as_str()),
                    (200, "done"),
                    "{context}"
                );
            }
            // Results are recorded in the background.
            tokio::time::sleep(Duration::from_millis(300 + 2 * case.claim_ms)).await;
            let got = call(bed.address(3 - hops), post, &headers, b"pay").await;
            let context = format!("resend: {} over {hops}: {got:?}", case.name);
            assert_eq!(got.error(), case.resend, "{context}");
            if case.resend.is_empty() {
                assert_eq!(
                    (got.status, got.text().as_str()),
                    (200, "done"),
                    "{context}"
                );
                let replayed = case.want.is_empty().then_some("whole");
                assert_eq!(got.header("x-replayed"), replayed, "{context}");
            }
            assert_eq!(endpoint.requests().len(), case.runs, "{context}");
            tokio::time::sleep(Duration::from_millis(200 + 2 * case.claim_ms)).await;
            if !case.state.is_empty() {
                let got = call(bed.address(hops), "GET /v1/actions/acts/k", "", b"").await;
                let state: serde_json::Value = serde_json::from_slice(&got.body).unwrap();
                assert_eq!(state["state"], case.state, "{context}");
            }
        }
    }
}

#[actix_web::test]
async fn keys_are_bound_to_their_request() {
    let bed = testbed(1, 1, 3, 30).await;
    let long = format!("idempotency-key: {}\r\n", "k".repeat(256));
    let key = "idempotency-key: k\r\n";
    let big = vec![0; (1 << 20) + 1];
    let cases: [(&str, &str, &[u8], &str); 6] = [
        ("POST /s/acts/x", key, b"pay 5", ""),
        ("POST /s/acts/x", key, b"pay 6", "idempotency-key-reused"),
        ("POST /s/acts/y", key, b"pay 5", "idempotency-key-reused"),
        ("PUT /s/acts/x", key, b"pay 5", "idempotency-key-reused"),
        ("POST /s/acts/x", &long, b"pay 5", "bad-request"),
        (
            "POST /s/acts/x",
            "idempotency-key: big\r\n",
            &big,
            "bad-request",
        ),
    ];
    for (request, headers, body, want) in cases {
        let got = call(bed.address(2), request, headers, body).await;
        assert_eq!(got.error(), want, "{request} {got:?}");
    }
    assert_eq!(bed.endpoints[0].requests().len(), 1);
}

/// A caller that goes away must not leave an action without a recorded result.
#[actix_web::test]
async fn actions_end_without_their_caller() {
    use tokio::io::AsyncWriteExt;
    let bed = testbed(1, 1, 3, 30).await;
    bed.endpoints[0].script(|_| [vec![Act::Wait(400)], ok("done")].concat());
    let mut stream = tokio::net::TcpStream::connect(bed.address(2))
        .await
        .unwrap();
    let head = "POST /s/acts/x HTTP/1.1\r\nhost: t\r\nidempotency-key: k\r\n\
                content-length: 3\r\n\r\npay";
    stream.write_all(head.as_bytes()).await.unwrap();
    tokio::time::sleep(Duration::from_millis(100)).await;
    drop(stream);
    tokio::time::sleep(Duration::from_millis(600)).await;
    let got = call(
        bed.address(1),
        "POST /s/acts/x",
        "idempotency-key: k\r\n",
        b"pay",
    )
    .await;
    assert_eq!(
        (got.text().as_str(), got.header("x-replayed")),
        ("done", Some("whole"))
    );
    assert_eq!(bed.endpoints[0].requests().len(), 1);
}
