//! review/15: an entry of the platform's list that was cut off hides all changes of the list.

#[path = "lab.rs"]
mod lab;

use lab::*;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

const ZONES: [(&str, &str); 3] = [("a", "north"), ("b", "middle"), ("c", "south")];
const CORES: [u8; 3] = [0, 1, 2];

/// `drain` of the small sites.
const DRAIN: Duration = Duration::from_secs(3);

fn run() -> Option<bool> {
    let lab = Lab::new(&ZONES).ok()?;
    let runs = Runs::default();
    for n in 0..6u8 {
        let zone = ZONES[usize::from(n % 3)].0;
        start_worker(&lab, n, &format!("i-{n}"), "shop", zone, Duration::from_millis(20), &runs).ok()?;
    }
    let mut processes = Vec::new();
    for n in CORES {
        processes.push(lab.start_core(n, &CORES, true).ok()?);
    }
    let paths = path("pages", "/pages/", "safe", "shop");
    lab.order(&CORES, "/v1/Config.Put", &config(1, &["shop"], &paths), Duration::from_secs(20))?;
    for (n, (zone, _)) in (0..3).zip(ZONES) {
        processes.push(lab.start_front(n, &format!("front-{n}"), zone, &CORES).ok()?);
    }
    sleep(Duration::from_secs(4));
    record("config 00000001 acknowledged; clients begin");
    let stop = Arc::new(AtomicBool::new(false));
    let answers: Arc<Mutex<(u32, u32)>> = Arc::default();
    let mut clients = Vec::new();
    for client in 0..9u8 {
        let (address, stop, answers) = (lab.front_address(client % 3), Arc::clone(&stop), Arc::clone(&answers));
        clients.push(thread::spawn(move || {
            let mut n = 0;
            while !stop.load(Ordering::Relaxed) {
                n += 1;
                let headers = format!("Host: shop.example\r\nX-Request-Id: page-{client}-{n}\r\nX-Deadline-Ms: 1000\r\n");
                let served = request(address, "GET", "/pages/1", &headers, b"", Duration::from_secs(2)).is_ok_and(|r| r.status == 200);
                let mut answers = answers.lock().unwrap();
                answers.0 += 1;
                answers.1 += u32::from(served);
                drop(answers);
                sleep(Duration::from_millis(40));
            }
        }));
    }
    sleep(Duration::from_secs(3));
    if trouble() {
        let cut_off = "[\"shop\",\"127.0.0.1:".to_string();
        record(format!("the list shows an entry of another writer that was cut off: {cut_off}"));
        *lab.list.1.lock().unwrap() = Some(cut_off);
    }
    sleep(Duration::from_secs(3));
    for row in lab.list.0.lock().unwrap().iter_mut().filter(|r| r.id == "i-0" || r.id == "i-1") {
        row.state = "draining";
    }
    let shown_at = Instant::now();
    record("the list shows i-0 and i-1 as draining");
    sleep(Duration::from_secs(15));
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let runs = runs.0.lock().unwrap();
    let late: Vec<&Run> = runs.iter().filter(|r| (r.worker == "i-0" || r.worker == "i-1") && r.at > shown_at + DRAIN).collect();
    if let Some(last) = late.last() {
        record(format!("the last request at a draining worker: {} at {} ms after the list showed it", last.id, last.at.duration_since(shown_at).as_millis()));
    }
    let (sent, served) = *answers.lock().unwrap();
    record(format!("{sent} requests, {served} served; {} reached a draining worker later than {} ms", late.len(), DRAIN.as_millis()));
    Some(late.is_empty())
}

fn main() {
    let code = match open_record().then(run).flatten() {
        Some(true) => HELD,
        Some(false) => BROKEN,
        None => NOT_RUN,
    };
    record(format!("exit code {code}"));
    std::process::exit(code);
}
