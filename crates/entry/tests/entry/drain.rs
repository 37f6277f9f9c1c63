//! Guards against a stop that interrupts requests, and against callers that are still sent to an
//! entry that stops.

use crate::fake_endpoint::{Act, ok};
use crate::raw_call::call;
use crate::testbed::testbed;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;

#[actix_web::test]
async fn a_stop_interrupts_nothing() {
    let bed = testbed(0, 1, 3, 30).await;
    bed.endpoints[0].script(|_| [vec![Act::Wait(900)], ok("done")].concat());
    let (public, internal) = (bed.near.public_address(), bed.near.internal_address());
    let start = Instant::now();
    let stop = actix_rt::spawn(bed.near.drain());
    let mut answered = 0;
    loop {
        let got = call(public, "PUT /s/files/x", "", b"body").await;
        let lookup = call(public, "GET /v1/lookup?service=files", "", b"").await;
        if got.error() == "draining" || start.elapsed() > Duration::from_secs(8) {
            break;
        }
        assert_eq!(got.text(), "done", "after {:?}: {got:?}", start.elapsed());
        answered += 1;
        assert!(!lookup.text().contains("near"), "{}", lookup.text());
        assert_eq!(call(public, "GET /readyz", "", b"").await.status, 503);
        let status = call(internal, "GET /v1/status", "", b"").await.text();
        assert!(
            status.contains("leaving_lists") || status.contains("finishing"),
            "{status}"
        );
        if stop.is_finished() || start.elapsed() > Duration::from_millis(4300) {
            break;
        }
    }
    assert!(
        answered >= 4,
        "{answered} requests during the lifetime of a lookup"
    );
    // In progress when the entry stops to accept requests.
    let last = actix_rt::spawn(async move {
        tokio::time::sleep(Duration::from_millis(4700).saturating_sub(start.elapsed())).await;
        call(public, "PUT /s/files/x", "", b"body").await
    });
    assert_eq!(last.await.unwrap().text(), "done");
    stop.await.unwrap();
    let time = start.elapsed();
    assert!(
        time > Duration::from_secs(5) && time < Duration::from_secs(9),
        "{time:?}"
    );
    assert!(
        TcpStream::connect(public).await.is_err(),
        "the listener is closed"
    );
}
