//! Case 8: a machine of the core loses power while the whole system starts for the first time. It comes back, and no
//! configuration is ever accepted.

#[path = "kit.rs"]
mod kit;

use kit::{BROKEN, HELD, Platform, Record, SIGKILL, call, config, finish, guard, route, without_trouble};
use std::thread;
use std::time::{Duration, Instant};

/// Control replicas; the first three are the seeds.
const REPLICAS: usize = 6;

/// How long after the first machine the others start, and when the first one loses power.
const LATE_START: Duration = Duration::from_millis(250);
const RUNS_FOR: Duration = Duration::from_millis(200);

/// How long the machine is dark.
const DARK: Duration = Duration::from_millis(3500);

/// Spans of the pages: `contact` and `ackTimeout`, and how much longer the case waits.
const CONTACT: Duration = Duration::from_secs(3);
const ACK_TIMEOUT: Duration = Duration::from_secs(4);
const EXTRA_TIME: Duration = Duration::from_secs(23);

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
    platform.start_control(0, true);
    thread::sleep(RUNS_FOR);
    if !without_trouble() {
        platform.signal("core-0", SIGKILL);
        platform.kill("core-0");
    }
    thread::sleep(LATE_START - RUNS_FOR);
    for n in 1..REPLICAS {
        platform.start_control(n, true);
    }
    (0..3).for_each(|n| platform.start_entry(n));
    if !without_trouble() {
        thread::sleep(DARK);
        // The whole system does not start for the first time any more.
        platform.start_control(0, false);
    }
    let calm_since = Instant::now();
    thread::sleep(CONTACT);
    record.line("all machines run and are connected, for `contact`; the operator sends the configuration");
    let document = config(1, &["views"], &[route("views", "/views/", "safe", 2000, "views")]);
    let until = Instant::now() + ACK_TIMEOUT + EXTRA_TIME;
    let mut last = String::new();
    for node in (0..REPLICAS).cycle() {
        let answer = call(&platform.operator(node), "POST", "/v1/Config.Put", &[], &document);
        let text = match &answer {
            Ok(a) => format!("{} {}", a.status, a.text()),
            Err(e) => format!("no answer ({e})"),
        };
        record.note(&format!("core-{node}: {text}"));
        if answer.is_ok_and(|a| a.status == 200) {
            platform.wait_until_served(0, "/views/x");
            finish(
                &record,
                HELD,
                "the configuration was acknowledged, and requests are served",
            );
        }
        last = format!("core-{node}: {text}");
        if Instant::now() >= until {
            break;
        }
        thread::sleep(Duration::from_millis(300));
    }
    record.line(&format!(
        "last answer, {:.1} s after the last disruption: {last}",
        calm_since.elapsed().as_secs_f64()
    ));
    let ready = (0..3)
        .filter(|n| call(&platform.ready(*n), "GET", "/v1/ready", &[], "").is_ok_and(|a| a.status == 200));
    record.line(&format!("entries that are ready: {}", ready.count()));
    finish(
        &record,
        BROKEN,
        "Acks: a valid configuration has no acknowledgment, with a stable core",
    );
}
