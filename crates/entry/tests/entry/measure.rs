//! Measurements of messages between entries, ignored by default. Run with `cargo test
//! -p mangospindle-entry --test entry -- --ignored --nocapture measure`.

use crate::raw_call::call;
use crate::testbed::testbed;

/// Prints the bytes of the answer to a probe. Guards nothing; `docs/CAPACITY.md` uses the figure.
#[actix_web::test]
#[ignore = "a measurement, not a check"]
async fn probe_bytes() {
    let bed = testbed(0, 2, 3, 30).await;
    let got = call(
        bed.far.internal_address(),
        "GET /internal/v1/probe",
        "",
        b"",
    )
    .await;
    assert_eq!(got.status, 200);
    println!(
        "answer to a probe: head {} bytes, body {} bytes: {}",
        got.head.len() + 4,
        got.body.len(),
        got.text()
    );
}
