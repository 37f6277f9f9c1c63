//! Case 7: sixteen uploads at a time, each well within the limits of the configuration, exceed the memory of an
//! entry. The orders that it had passed on end without an answer.

#[path = "kit.rs"]
mod kit;

use kit::{Connection, HOST, NOT_RUN, Platform, Record, config, finish, guard, route, without_trouble};
use std::io::{self, Write};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Memory limit of a machine that serves `front`, in MiB.
const MEMORY_MIB: u64 = 260;

/// Uploads, and their size: less than half of `maxBodyBytes` (67,108,864).
const UPLOADS: usize = 16;
const UPLOAD_BYTES: usize = 24 << 20;

/// Uploads at a time without the disruption.
const CALM_UPLOADS_AT_A_TIME: usize = 4;

/// Pieces of an upload, and the pause after each: all uploads together fill the link of the machine (1,000 Mbit/s).
const PIECE_BYTES: usize = 1 << 20;
const PIECE_GAP: Duration = Duration::from_millis(130);

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
    let at_a_time = if without_trouble() {
        CALM_UPLOADS_AT_A_TIME
    } else {
        UPLOADS
    };
    for first in (0..UPLOADS).step_by(at_a_time) {
        let uploads: Vec<_> = (first..first + at_a_time)
            .map(|n| {
                let platform = platform.clone();
                thread::spawn(move || upload(&platform, n))
            })
            .collect();
        uploads.into_iter().for_each(|u| u.join().expect("an upload"));
    }
    thread::sleep(Duration::from_secs(2));
    stop.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|c| c.join().expect("a client"));

    kit::judge_lost(&platform, &lost, &answered, &kills, MAX_LOST);
}

fn upload(platform: &Platform, n: usize) {
    let id = format!("upload-{n}");
    let answer = send_upload(platform, n, &id);
    let text = answer.map_or_else(|e| format!("no answer ({e})"), |status| status.to_string());
    platform.record.line(&format!("{id}: {text}"));
}

fn send_upload(platform: &Platform, n: usize, id: &str) -> io::Result<u16> {
    let mut connection = Connection::open(&platform.entry(0), Duration::from_secs(6))?;
    let head = format!(
        "POST /uploads/{n} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 6000\r\nContent-Length: {UPLOAD_BYTES}\r\nConnection: close\r\n\r\n"
    );
    connection.stream.write_all(head.as_bytes())?;
    let piece = vec![b'p'; PIECE_BYTES];
    for _ in 0..UPLOAD_BYTES / PIECE_BYTES {
        connection.stream.write_all(&piece)?;
        thread::sleep(PIECE_GAP);
    }
    Ok(connection.read_answer()?.status)
}
