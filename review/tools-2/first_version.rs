//! Case 10: a first configuration with version 00000000 is acknowledged, but never in force, and cannot be read back.

#[path = "kit.rs"]
mod kit;

use kit::{BROKEN, HELD, NOT_RUN, Platform, Record, call, config, finish, guard, route, without_trouble};
use std::thread;
use std::time::{Duration, Instant};

/// How long the operator reads back (`recovery`).
const READ_BACK: Duration = Duration::from_secs(15);

fn main() {
    let record = Record::create();
    guard(&record, Duration::from_secs(90));
    let platform = Platform::new(&record);
    platform.start_list();
    let behaviour = kit::Behaviour {
        work: Duration::from_millis(20),
        body_bytes: 400,
    };
    for (domain, _) in kit::DOMAINS {
        platform.add_server("views", domain, behaviour.clone());
    }
    for n in 0..3 {
        platform.start_control(n, true);
        platform.start_entry(n);
    }
    let version = if without_trouble() { 1 } else { 0 };
    let document = config(
        version,
        &["views"],
        &[route("views", "/views/", "safe", 2000, "views")],
    );
    if !platform.put_config(&document, Duration::from_secs(20)) {
        finish(
            &record,
            NOT_RUN,
            "the configuration was not acknowledged, or was refused",
        );
    }
    record.line(&format!("version {version:08x} is acknowledged"));
    let until = Instant::now() + READ_BACK;
    while Instant::now() < until {
        for n in 0..3 {
            let answer = call(&platform.operator(n), "GET", "/v1/Config.Get", &[], "");
            let text = match &answer {
                Ok(a) => format!("{} {}", a.status, a.text()),
                Err(e) => format!("no answer ({e})"),
            };
            record.note(&format!("read back from core-{n}: {text}"));
            if answer.is_ok_and(|a| a.status == 200) {
                platform.wait_until_served(0, "/views/x");
                finish(
                    &record,
                    HELD,
                    "the configuration was read back, and requests are served",
                );
            }
        }
        thread::sleep(Duration::from_millis(500));
    }
    let headers = [("X-Request-Id", "after"), ("X-Deadline-Ms", "2000")];
    for n in 0..3 {
        let answer = call(&platform.entry(n), "GET", "/views/x", &headers, "");
        let text = answer.map_or_else(|e| e.to_string(), |a| format!("{} {}", a.status, a.text()));
        record.line(&format!("a request to front-{n}: {text}"));
    }
    finish(
        &record,
        BROKEN,
        "CONFIG: the acknowledged configuration does not come when it is read back",
    );
}
