//! Guards against connections that go silent while new ones work.

use crate::fake_endpoint::ok;
use crate::raw_call::call;
use crate::testbed::{HOP, Testbed, testbed};
use mangospindle_harness::Fault;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

struct Case {
    name: &'static str,
    service: u16,
    request: &'static str,
    /// Time from the moment the connections go silent to the request.
    wait_ms: u64,
    /// Error; `None` for an answer.
    want: Option<&'static str>,
    within_ms: u64,
    /// Most requests that reach the endpoint after the moment.
    most: usize,
}

const CASES: [Case; 5] = [
    Case {
        name: "a read moves to a new connection at once",
        service: 0,
        request: "GET /s/files/x",
        wait_ms: 0,
        want: None,
        within_ms: 700,
        most: 1,
    },
    Case {
        name: "an upload that may have arrived is not repeated",
        service: 0,
        request: "PUT /s/files/x",
        wait_ms: 0,
        want: Some("deadline-exceeded"),
        within_ms: 1800,
        most: 0,
    },
    Case {
        name: "an upload does not start on a connection without recent proof",
        service: 0,
        request: "PUT /s/files/x",
        wait_ms: 1300,
        want: None,
        within_ms: 300,
        most: 1,
    },
    Case {
        name: "an action that may have arrived is not repeated",
        service: 1,
        request: "POST /s/acts/x",
        wait_ms: 0,
        want: Some("outcome-unknown"),
        within_ms: 1800,
        most: 0,
    },
    Case {
        name: "an action does not start on a connection without recent proof",
        service: 1,
        request: "POST /s/acts/x",
        wait_ms: 1300,
        want: None,
        within_ms: 300,
        most: 1,
    },
];

async fn warm_up(bed: &Testbed, case: &Case, hops: usize) {
    for i in 0..3 {
        let key = format!("idempotency-key: warm-{i}\r\n");
        let got = call(bed.address(hops), case.request, &key, b"").await;
        assert_eq!(got.status, 200, "{}: {got:?}", case.name);
    }
}

#[actix_web::test]
async fn silent_connections_are_left() {
    for (hops, between_entries) in [(1, false), (2, false), (2, true)] {
        for case in CASES {
            let bed = testbed(case.service, 1, 3, 30).await;
            let endpoint = &bed.endpoints[0];
            endpoint.script(|_| ok("done"));
            warm_up(&bed, &case, hops).await;
            // Connections that are opened from now on work.
            if between_entries {
                let silence_existing = Fault {
                    silence_existing: true,
                    ..Fault::default()
                };
                bed.proxy.set(HOP, silence_existing);
            } else {
                let requests = endpoint.requests();
                let newest = requests.iter().map(|r| r.connection).max().unwrap();
                endpoint.silent_below.store(newest + 1, Ordering::SeqCst);
            }
            tokio::time::sleep(Duration::from_millis(case.wait_ms)).await;
            let before = endpoint.requests().len();
            let start = Instant::now();
            // Some clients announce that the body is empty; it can still be sent again.
            let headers = "idempotency-key: k\r\nx-deadline-ms: 1500\r\ncontent-length: 0\r\n";
            let got = call(bed.address(hops), case.request, headers, b"").await;
            let time = start.elapsed().as_millis() as u64;
            let context = format!(
                "{} over {hops}, {between_entries}, {time} ms: {got:?}",
                case.name
            );
            // A reservation is asked for again, so that the upload itself has not been sent.
            let want = case
                .want
                .filter(|_| !(between_entries && case.service == 0));
            match want {
                None => assert_eq!(got.status, 200, "{context}"),
                Some(name) => assert_eq!(got.error(), name, "{context}"),
            }
            assert!(time <= case.within_ms, "{context}");
            let most = case.most.max(usize::from(want.is_none()));
            assert!(endpoint.requests().len() - before <= most, "{context}");
        }
    }
}
