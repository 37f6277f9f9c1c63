//! Guards against at-most-once actions that run twice, or whose result is reported incorrectly.

use crate::fake_control::ProposalMode;
use crate::fake_endpoint::{ScriptStep, ok_response};
use crate::raw_response::send_request;
use crate::test_cluster::start_cluster;
use std::time::Duration;

struct Case {
    name: &'static str,
    mode: ProposalMode,
    proposal_delay_ms: u64,
    /// Steps of the endpoint for the first request. It responds to later ones with `done`.
    first_steps: Vec<ScriptStep>,
    key: &'static str,
    /// Error of the first request; empty if it succeeds.
    expected_error: &'static str,
    /// Error of a resend through the other entry; empty if it succeeds.
    expected_resend_error: &'static str,
    /// Number of executions after both requests.
    executions: usize,
    /// State of the idempotency key after both requests; empty if it is not checked.
    state: &'static str,
}

fn cases() -> Vec<Case> {
    let base = |name| Case {
        name,
        mode: ProposalMode::Accept,
        proposal_delay_ms: 0,
        first_steps: ok_response("done"),
        key: "k",
        expected_error: "",
        expected_resend_error: "",
        executions: 1,
        state: "completed",
    };
    let send_and_close = |text: &str| {
        vec![
            ScriptStep::ReadBody,
            ScriptStep::Send(text.into()),
            ScriptStep::Close,
        ]
    };
    vec![
        base("the response is replayed"),
        Case {
            mode: ProposalMode::NotAccepted,
            expected_error: "no-quorum",
            expected_resend_error: "no-quorum",
            executions: 0,
            state: "",
            ..base("no quorum")
        },
        Case {
            mode: ProposalMode::LoseFirstResult,
            expected_error: "no-quorum",
            ..base(
                "the result of the claim is lost; the claim is released and a resend is executed",
            )
        },
        Case {
            first_steps: send_and_close(""),
            expected_error: "outcome-unknown",
            expected_resend_error: "outcome-unknown",
            state: "unknown",
            ..base("the endpoint closes the connection without a response")
        },
        Case {
            first_steps: send_and_close("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhalf"),
            expected_error: "outcome-unknown",
            expected_resend_error: "outcome-unknown",
            state: "unknown",
            ..base("the response is truncated")
        },
        Case {
            first_steps: send_and_close(
                "HTTP/1.1 503 Busy\r\nx-request-run: no\r\ncontent-length: 0\r\n\r\n",
            ),
            expected_error: "shed",
            executions: 2,
            ..base("the endpoint reports that it did not run the action; a resend is executed")
        },
        Case {
            first_steps: [vec![ScriptStep::WaitMs(1300)], ok_response("late")].concat(),
            expected_error: "outcome-unknown",
            expected_resend_error: "outcome-unknown",
            state: "unknown",
            ..base("the response arrives after the deadline")
        },
        Case {
            proposal_delay_ms: 1200,
            expected_error: "deadline-before-dispatch",
            executions: 0,
            expected_resend_error: "deadline-before-dispatch",
            state: "not_found",
            ..base("the claim is granted after the deadline, so no byte is sent")
        },
        Case {
            key: "",
            expected_error: "missing-idempotency-key",
            expected_resend_error: "missing-idempotency-key",
            executions: 0,
            state: "",
            ..base("no idempotency key")
        },
    ]
}

#[actix_web::test]
async fn actions_run_at_most_once() {
    for hops in [1, 2] {
        for case in cases() {
            let cluster = start_cluster(1, 1, 3, 30).await;
            let endpoint = &cluster.endpoints[0];
            let first_steps = case.first_steps.clone();
            let received = endpoint.received.clone();
            endpoint.set_script(move |_| match received.lock().unwrap().len() {
                1 => first_steps.clone(),
                _ => ok_response("done"),
            });
            *cluster.control.mode.lock().unwrap() = case.mode;
            *cluster.control.delay.lock().unwrap() = Duration::from_millis(case.proposal_delay_ms);
            let headers = match case.key {
                "" => "x-deadline-ms: 1000\r\n".to_string(),
                key => format!("idempotency-key: {key}\r\nx-deadline-ms: 1000\r\n"),
            };
            let post = "POST /s/acts/x";
            let response = send_request(cluster.address(hops), post, &headers, b"pay").await;
            let context = format!("{} with {hops} hops: {response:?}", case.name);
            assert_eq!(response.error(), case.expected_error, "{context}");
            if case.expected_error.is_empty() {
                assert_eq!(
                    (response.status, response.text().as_str()),
                    (200, "done"),
                    "{context}"
                );
            }
            // Results are recorded in the background.
            tokio::time::sleep(Duration::from_millis(300 + 2 * case.proposal_delay_ms)).await;
            let response = send_request(cluster.address(3 - hops), post, &headers, b"pay").await;
            let context = format!("resend: {} with {hops} hops: {response:?}", case.name);
            assert_eq!(response.error(), case.expected_resend_error, "{context}");
            if case.expected_resend_error.is_empty() {
                assert_eq!(
                    (response.status, response.text().as_str()),
                    (200, "done"),
                    "{context}"
                );
                let replayed = case.expected_error.is_empty().then_some("whole");
                assert_eq!(response.header("x-replayed"), replayed, "{context}");
            }
            assert_eq!(endpoint.requests().len(), case.executions, "{context}");
            tokio::time::sleep(Duration::from_millis(200 + 2 * case.proposal_delay_ms)).await;
            if !case.state.is_empty() {
                let response =
                    send_request(cluster.address(hops), "GET /v1/actions/acts/k", "", b"").await;
                let state: serde_json::Value = serde_json::from_slice(&response.body).unwrap();
                assert_eq!(state["state"], case.state, "{context}");
            }
        }
    }
}

#[actix_web::test]
async fn keys_are_bound_to_their_request() {
    let cluster = start_cluster(1, 1, 3, 30).await;
    let long_key = format!("idempotency-key: {}\r\n", "k".repeat(256));
    let key = "idempotency-key: k\r\n";
    let oversized_body = vec![0; (1 << 20) + 1];
    let cases: [(&str, &str, &[u8], &str); 6] = [
        ("POST /s/acts/x", key, b"pay 5", ""),
        ("POST /s/acts/x", key, b"pay 6", "idempotency-key-reused"),
        ("POST /s/acts/y", key, b"pay 5", "idempotency-key-reused"),
        ("PUT /s/acts/x", key, b"pay 5", "idempotency-key-reused"),
        ("POST /s/acts/x", &long_key, b"pay 5", "bad-request"),
        (
            "POST /s/acts/x",
            "idempotency-key: big\r\n",
            &oversized_body,
            "bad-request",
        ),
    ];
    for (request, headers, body, expected_error) in cases {
        let response = send_request(cluster.address(2), request, headers, body).await;
        assert_eq!(response.error(), expected_error, "{request}: {response:?}");
    }
    assert_eq!(cluster.endpoints[0].requests().len(), 1);
}

/// A caller that disconnects must not leave an action without a recorded result.
#[actix_web::test]
async fn actions_complete_without_their_caller() {
    use tokio::io::AsyncWriteExt;
    let cluster = start_cluster(1, 1, 3, 30).await;
    cluster.endpoints[0]
        .set_script(|_| [vec![ScriptStep::WaitMs(400)], ok_response("done")].concat());
    let mut stream = tokio::net::TcpStream::connect(cluster.address(2))
        .await
        .unwrap();
    let head = "POST /s/acts/x HTTP/1.1\r\nhost: t\r\nidempotency-key: k\r\n\
                content-length: 3\r\n\r\npay";
    stream.write_all(head.as_bytes()).await.unwrap();
    tokio::time::sleep(Duration::from_millis(100)).await;
    drop(stream);
    tokio::time::sleep(Duration::from_millis(600)).await;
    let response = send_request(
        cluster.address(1),
        "POST /s/acts/x",
        "idempotency-key: k\r\n",
        b"pay",
    )
    .await;
    assert_eq!(
        (response.text().as_str(), response.header("x-replayed")),
        ("done", Some("whole"))
    );
    assert_eq!(cluster.endpoints[0].requests().len(), 1);
}
