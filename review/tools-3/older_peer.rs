//! review/13: an entry with the newest configuration passes requests on to one that has an older one.

#[path = "lab.rs"]
mod lab;

use lab::*;
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

const ZONES: [(&str, &str); 3] = [("a", "north"), ("b", "middle"), ("c", "south")];
const CORES: [u8; 3] = [0, 1, 2];

/// `downgradeSlack` of the small sites.
const DOWNGRADE_SLACK: Duration = Duration::from_millis(250);

/// How long the control replica stands still.
const FREEZE: Duration = Duration::from_millis(4000);

fn send(lab: &Lab, front: u8, target: &str, id: &str) -> (u16, String) {
    let headers = format!("Host: shop.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 900\r\n");
    match request(lab.front_address(front), "POST", target, &headers, b"order", Duration::from_secs(1)) {
        Ok(r) => (r.status, r.headers.get("x-server-stamp").cloned().unwrap_or("none".to_string())),
        Err(e) => (0, e.to_string()),
    }
}

fn run() -> Option<bool> {
    let lab = Lab::new(&ZONES).ok()?;
    let runs = Runs::default();
    let work = Duration::from_millis(20);
    start_worker(&lab, 0, "i-old-a", "old", "a", work, &runs).ok()?;
    start_worker(&lab, 1, "i-old-b", "old", "b", work, &runs).ok()?;
    start_worker(&lab, 2, "i-new-1", "new", "c", work, &runs).ok()?;
    start_worker(&lab, 3, "i-new-2", "new", "c", work, &runs).ok()?;
    let mut cores = Vec::new();
    for n in CORES {
        cores.push(lab.start_core(n, &CORES, true).ok()?);
    }
    let document = |version, service| config(version, &["old", "new"], &path("orders", "/orders/", "unsafe", service));
    lab.order(&CORES, "/v1/Config.Put", &document(1, "old"), Duration::from_secs(20))?;
    record("config 00000001 acknowledged: /orders/ (unsafe) goes to the service `old`");
    sleep(Duration::from_secs(2));
    let leader = lab.leader(&CORES)?;
    // Two entries that hear of changes from different replicas, as their settings name the seeds in another
    // order; the second one doesn't hear from the leader.
    let order = |from: u8| [from % 3, (from + 1) % 3, (from + 2) % 3];
    let _first = lab.start_front(0, "front-first", "a", &order(leader + 1)).ok()?;
    let _second = lab.start_front(1, "front-second", "b", &order(leader + 2)).ok()?;
    for front in 0..2 {
        if !wait_until(Duration::from_secs(8), || send(&lab, front, "/orders/1", "warm").0 == 200) {
            return None;
        }
    }
    sleep(Duration::from_secs(4));
    let (of_first, of_second) = (lab.replica_of(0)?, lab.replica_of(1)?);
    record(format!("core-{leader} leads; the first entry hears from core-{of_first}, the second from core-{of_second}"));
    if of_second == of_first || of_second == leader || lab.leader(&CORES) != Some(leader) {
        return None;
    }
    if trouble() {
        record(format!("core-{of_second} stands still for {} ms", FREEZE.as_millis()));
        cores[usize::from(of_second)].signal(SIGSTOP);
    }
    let others: Vec<u8> = CORES.into_iter().filter(|n| *n != of_second).collect();
    let frozen_at = Instant::now();
    lab.order(&others, "/v1/Config.Put", &document(2, "new"), Duration::from_secs(4))?;
    record("config 00000002 acknowledged: /orders/ goes to the service `new`");
    // The first request that the first entry sends to the new service shows the version.
    let mut shown_at = None;
    for n in 0..50 {
        let id = format!("show-{n}");
        send(&lab, 0, "/orders/1", &id);
        let shown = runs.0.lock().unwrap().iter().find(|r| r.id == id && r.service == "new").map(|r| r.at);
        if let Some(at) = shown {
            record(format!("{id}: sent to the first entry, run by the service `new`"));
            shown_at = Some(at);
            break;
        }
    }
    let shown_at = shown_at?;
    lab.order(&others, "/v1/Evacuations.Start/c", "", Duration::from_secs(4))?;
    record("evacuation of zone c acknowledged: the workers of `new` are there");
    let mut sent: Vec<(String, Instant)> = Vec::new();
    let mut clients = Vec::new();
    let address = lab.front_address(0);
    let mut n = 0;
    while frozen_at.elapsed() < Duration::from_secs(3) {
        let id = format!("order-{n:03}");
        sent.push((id.clone(), Instant::now()));
        clients.push(thread::spawn(move || {
            let headers = format!("Host: shop.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 900\r\n");
            let result = request(address, "POST", "/orders/1", &headers, b"order", Duration::from_secs(1));
            (id, result.map(|r| (r.status, r.headers.get("x-server-stamp").cloned().unwrap_or("none".to_string()))))
        }));
        n += 1;
        sleep(Duration::from_millis(20));
    }
    for client in clients {
        if let Ok((id, result)) = client.join() {
            match result {
                Ok((status, stamp)) => record(format!("{id}: status {status}, stamp {stamp}")),
                Err(e) => record(format!("{id}: {e}")),
            }
        }
    }
    let left = FREEZE.saturating_sub(frozen_at.elapsed());
    sleep(left);
    cores[usize::from(of_second)].signal(SIGCONT);
    let runs = runs.0.lock().unwrap();
    let mut broken = 0;
    for run in runs.iter().filter(|r| r.service == "old") {
        let late = sent.iter().find(|(id, at)| *id == run.id && *at > shown_at + DOWNGRADE_SLACK);
        if let Some((id, at)) = late {
            broken += 1;
            record(format!("{id}: sent to the first entry {} ms after it had shown config 00000002, run by the service `old` ({})", at.duration_since(shown_at).as_millis(), run.worker));
        }
    }
    record(format!("{broken} of {} requests were run as only config 00000001 allows", sent.len()));
    if let Ok(keep) = std::env::var("KEEP_LOGS") {
        lab.keep_logs(std::path::Path::new(&keep));
    }
    Some(broken == 0)
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
