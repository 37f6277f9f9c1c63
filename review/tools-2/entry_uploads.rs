//! Case 7: sixteen uploads at a time, each well within the limits of the configuration, exceed the memory of an
//! entry. The orders that it had passed on end without an answer.

#[path = "kit.rs"]
mod kit;

use kit::{NOT_RUN, Platform, Record, call_within, config, finish, guard, route, without_trouble};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Memory limit of a machine that serves `front`, in MiB.
const MEMORY_MIB: u64 = 260;

/// Uploads, and their size: less than half of `maxBodyBytes` (67,108,864).
const UPLOADS: usize = 16;
const UPLOAD_BYTES: usize = 24 << 20;

/// Clients with a kept connection that send orders, one after the other.
const ORDER_CLIENTS: usize = 10;

/// Requests of kept connections that may end without an answer.
const MAX_LOST: usize = 3;

fn main() {
    let record = Record::create();
    guard(&record, Duration::from_secs(100));
    let platform = Platform::new(&record);
    platform.start_list();
    let behaviour = |work_ms| kit::Behaviour {
        work: Duration::from_millis(work_ms),
        body_bytes: 400,
    };
    for (domain, _) in kit::DOMAINS {
        for _ in 0..2 {
            platform.add_server("orders", domain, behaviour(400));
            platform.add_server("uploads", domain, behaviour(200));
        }
    }
    for n in 0..3 {
        platform.start_control(n, true);
        platform.start_entry(n);
    }
    let routes = [
        route("orders", "/orders/", "unsafe", 2500, "orders"),
        route("uploads", "/uploads/", "safe", 6000, "uploads"),
    ];
    let document = config(1, &["orders", "uploads"], &routes);
    if !platform.put_config(&document, Duration::from_secs(20)) {
        finish(&record, NOT_RUN, "the first configuration was not accepted");
    }
    (0..3).for_each(|n| platform.wait_until_served(n, "/orders/warm"));
    let kills = platform.limit_memory("front-0", MEMORY_MIB, true);
    // Longer than `contact`: all machines are in touch.
    thread::sleep(Duration::from_secs(5));

    let lost: Arc<Mutex<Vec<String>>> = Arc::default();
    let answered = Arc::new(AtomicUsize::new(0));
    let stop = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..ORDER_CLIENTS)
        .map(|client| {
            let (platform, lost, answered) = (platform.clone(), Arc::clone(&lost), Arc::clone(&answered));
            let stop = Arc::clone(&stop);
            thread::spawn(move || kit::send_orders(&platform, client, &stop, &lost, &answered))
        })
        .collect();
    thread::sleep(Duration::from_secs(2));
    record.line(&format!(
        "{UPLOADS} uploads of {UPLOAD_BYTES} bytes begin; memory {} MiB",
        platform.memory_mib("front-0")
    ));
    match without_trouble() {
        true => (0..UPLOADS).for_each(|n| upload(&platform, n)),
        false => {
            let uploads: Vec<_> = (0..UPLOADS)
                .map(|n| {
                    let platform = platform.clone();
                    thread::spawn(move || upload(&platform, n))
                })
                .collect();
            uploads.into_iter().for_each(|u| u.join().expect("an upload"));
        }
    }
    thread::sleep(Duration::from_secs(2));
    stop.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|c| c.join().expect("a client"));

    kit::judge_lost(&platform, &lost, &answered, &kills, MAX_LOST);
}

fn upload(platform: &Platform, n: usize) {
    let id = format!("upload-{n}");
    let headers = [("X-Request-Id", id.as_str()), ("X-Deadline-Ms", "6000")];
    let body = vec![b'p'; UPLOAD_BYTES];
    let path = format!("/uploads/{n}");
    let answer = call_within(
        &platform.entry(0),
        "POST",
        &path,
        &headers,
        &body,
        Duration::from_secs(6),
    );
    let text = answer.map_or_else(|e| format!("no answer ({e})"), |a| a.status.to_string());
    platform.record.line(&format!("{id}: {text}"));
}
