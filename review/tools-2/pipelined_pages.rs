//! Case 9: pages with pipelined pictures. The answers that wait for the first one of their connection exceed the memory
//! of an entry.

#[path = "kit.rs"]
mod kit;

use kit::{Connection, NOT_RUN, Platform, Record, config, finish, guard, route, without_trouble};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Memory limit of a machine that serves `front`, in MiB.
const MEMORY_MIB: u64 = 260;

/// Clients that fetch a page at the same time, and with 1.8 times as many (`burst`).
const CALM_PAGE_CLIENTS: usize = 15;
const PAGE_CLIENTS: usize = 27;

/// The pictures of a page, which a client requests before the page has come.
const PICTURES: usize = 15;
const PICTURE_BYTES: usize = 900_000;

/// Pause between two requests of a client, which find free servers.
const PICTURE_GAP: Duration = Duration::from_millis(80);

/// Work on a page.
const PAGE_WORK: Duration = Duration::from_millis(1800);

/// Clients with a kept connection that send orders, one after the other.
const ORDER_CLIENTS: usize = 10;

/// Requests of kept connections that may end without an answer.
const MAX_LOST: usize = 3;

fn main() {
    let record = Record::create();
    guard(&record, Duration::from_secs(100));
    let platform = Platform::new(&record);
    platform.start_list();
    let page_clients = match without_trouble() {
        true => CALM_PAGE_CLIENTS,
        false => PAGE_CLIENTS,
    };
    let behaviour = |work, body_bytes| kit::Behaviour { work, body_bytes };
    for (domain, _) in kit::DOMAINS {
        for _ in 0..4 {
            platform.add_server("pages", domain, behaviour(PAGE_WORK, 400));
            platform.add_server(
                "pictures",
                domain,
                behaviour(Duration::from_millis(20), PICTURE_BYTES),
            );
            platform.add_server("orders", domain, behaviour(Duration::from_millis(400), 400));
        }
    }
    for n in 0..3 {
        platform.start_control(n, true);
        platform.start_entry(n);
    }
    let routes = [
        route("pages", "/pages/", "safe", 6000, "pages"),
        route("pictures", "/pictures/", "safe", 6000, "pictures"),
        route("orders", "/orders/", "unsafe", 2500, "orders"),
    ];
    let document = config(1, &["pages", "pictures", "orders"], &routes);
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
        "{page_clients} clients fetch a page with {PICTURES} pictures"
    ));
    let pages: Vec<_> = (0..page_clients)
        .map(|client| {
            let platform = platform.clone();
            thread::spawn(move || fetch_page(&platform, client))
        })
        .collect();
    pages.into_iter().for_each(|p| p.join().expect("a client"));
    thread::sleep(Duration::from_secs(1));
    stop.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|c| c.join().expect("a client"));
    kit::judge_lost(&platform, &lost, &answered, &kills, MAX_LOST);
}

fn fetch_page(platform: &Platform, client: usize) {
    let Ok(mut connection) = Connection::open(&platform.entry(0), Duration::from_secs(8)) else {
        return;
    };
    let paths = (0..=PICTURES).map(|n| match n {
        0 => format!("/pages/{client}"),
        n => format!("/pictures/{client}/{n}"),
    });
    let paths: Vec<String> = paths.collect();
    for (n, path) in paths.iter().enumerate() {
        let id = format!("page-{client}-{n}");
        let key = (client * 100 + n).to_string();
        let headers = [
            ("X-Request-Id", id.as_str()),
            ("X-Deadline-Ms", "6000"),
            ("X-Affinity-Key", key.as_str()),
        ];
        if let Err(e) = connection.send("GET", path, &headers, &[]) {
            platform.record.line(&format!("{id}: not sent ({e})"));
            return;
        }
        thread::sleep(PICTURE_GAP);
    }
    let mut answers = Vec::new();
    for _ in &paths {
        match connection.read_answer() {
            Ok(a) => answers.push(a.status.to_string()),
            Err(e) => {
                answers.push(e.to_string());
                break;
            }
        }
    }
    platform
        .record
        .line(&format!("page of client {client}: {}", answers.join(" ")));
}
