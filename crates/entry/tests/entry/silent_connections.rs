//! Guards against requests that fail on connections that have gone silent while new ones work.

use crate::fake_endpoint::ok_response;
use crate::raw_response::send_request;
use crate::test_cluster::{NEAR_TO_FAR, TestCluster, start_cluster};
use mangospindle_harness::Fault;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

struct Case {
    name: &'static str,
    service: u16,
    request: &'static str,
    /// Time between the silencing of the connections and the request.
    wait_ms: u64,
    /// Expected error; `None` if the request succeeds.
    expected_error: Option<&'static str>,
    max_elapsed_ms: u64,
    /// Maximum number of requests that reach the endpoint after the silencing.
    max_requests: usize,
}

const CASES: [Case; 5] = [
    Case {
        name: "a read is resent immediately on a new connection",
        service: 0,
        request: "GET /s/files/x",
        wait_ms: 0,
        expected_error: None,
        max_elapsed_ms: 700,
        max_requests: 1,
    },
    Case {
        name: "an upload that may have arrived is not resent",
        service: 0,
        request: "PUT /s/files/x",
        wait_ms: 0,
        expected_error: Some("deadline-exceeded"),
        max_elapsed_ms: 1800,
        max_requests: 0,
    },
    Case {
        name: "an upload does not use a connection that was not recently validated",
        service: 0,
        request: "PUT /s/files/x",
        wait_ms: 1300,
        expected_error: None,
        max_elapsed_ms: 300,
        max_requests: 1,
    },
    Case {
        name: "an action that may have arrived is not resent",
        service: 1,
        request: "POST /s/acts/x",
        wait_ms: 0,
        expected_error: Some("outcome-unknown"),
        max_elapsed_ms: 1800,
        max_requests: 0,
    },
    Case {
        name: "an action does not use a connection that was not recently validated",
        service: 1,
        request: "POST /s/acts/x",
        wait_ms: 1300,
        expected_error: None,
        max_elapsed_ms: 300,
        max_requests: 1,
    },
];

async fn warm_up(cluster: &TestCluster, case: &Case, hops: usize) {
    for i in 0..3 {
        let key = format!("idempotency-key: warm-{i}\r\n");
        let response = send_request(cluster.address(hops), case.request, &key, b"").await;
        assert_eq!(response.status, 200, "{}: {response:?}", case.name);
    }
}

#[actix_web::test]
async fn silent_connections_are_replaced() {
    for (hops, between_entries) in [(1, false), (2, false), (2, true)] {
        for case in CASES {
            let cluster = start_cluster(case.service, 1, 3, 30).await;
            let endpoint = &cluster.endpoints[0];
            endpoint.set_script(|_| ok_response("done"));
            warm_up(&cluster, &case, hops).await;
            // Silences the existing connections. Connections that are opened later work.
            if between_entries {
                let silence_existing = Fault {
                    silence_existing: true,
                    ..Fault::default()
                };
                cluster.proxy.set(NEAR_TO_FAR, silence_existing);
            } else {
                let requests = endpoint.requests();
                let newest = requests.iter().map(|r| r.connection).max().unwrap();
                endpoint.silent_below.store(newest + 1, Ordering::SeqCst);
            }
            tokio::time::sleep(Duration::from_millis(case.wait_ms)).await;
            let requests_before = endpoint.requests().len();
            let start = Instant::now();
            // Some clients send `content-length: 0`. Such a request can still be resent.
            let headers = "idempotency-key: k\r\nx-deadline-ms: 1500\r\ncontent-length: 0\r\n";
            let response = send_request(cluster.address(hops), case.request, headers, b"").await;
            let elapsed_ms = start.elapsed().as_millis() as u64;
            let context = format!(
                "{} with {hops} hops, between_entries={between_entries}, {elapsed_ms} ms: \
                 {response:?}",
                case.name
            );
            // Between entries, only the reservation request is lost. It is resent before the
            // upload.
            let expected_error = case
                .expected_error
                .filter(|_| !(between_entries && case.service == 0));
            match expected_error {
                None => assert_eq!(response.status, 200, "{context}"),
                Some(name) => assert_eq!(response.error(), name, "{context}"),
            }
            assert!(elapsed_ms <= case.max_elapsed_ms, "{context}");
            let max_requests = case.max_requests.max(usize::from(expected_error.is_none()));
            assert!(
                endpoint.requests().len() - requests_before <= max_requests,
                "{context}"
            );
        }
    }
}
