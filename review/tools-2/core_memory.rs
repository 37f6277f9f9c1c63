//! Case 6: hundreds of changes of a configuration with a few hundred routes exceed the memory of all control
//! replicas, which cannot start again.

#[path = "kit.rs"]
mod kit;

use kit::{BROKEN, HELD, NOT_RUN, Platform, Record, call, config, finish, guard, route, without_trouble};
use std::thread;
use std::time::{Duration, Instant};

/// Memory limit of a machine that runs `control`, in MiB.
const MEMORY_MIB: u64 = 256;

/// Routes that the configuration has grown by: `big_config` of the site file.
const ADDED_ROUTES: usize = 350;

/// Changes in a day, and the pause between two of them.
const CHANGES: u64 = 600;
const CALM_CHANGES: u64 = 40;
const GAP: Duration = Duration::from_millis(60);

/// How long the operator waits for an acknowledgment (`ackTimeout`), sends changes, and reads back (`recovery`).
const ACK_TIMEOUT: Duration = Duration::from_secs(4);
const LAST_CHANGE: f64 = 70.0;
const MAX_UNACKNOWLEDGED: u32 = 3;
const READ_BACK: Duration = Duration::from_secs(15);

/// Ends of a process by itself that count as a fault, on half of the core.
const MAX_ENDS: usize = 3;

fn document(version: u64) -> String {
    let timeout_ms = 2000 + version;
    let mut routes = vec![
        route("views", "/views/", "safe", timeout_ms, "views"),
        route("orders", "/orders/", "unsafe", timeout_ms, "orders"),
    ];
    for n in 0..ADDED_ROUTES {
        let (name, prefix) = (format!("r-{n:05}"), format!("/p{n:05}/"));
        routes.push(route(&name, &prefix, "safe", timeout_ms, "views"));
    }
    config(version, &["views", "orders"], &routes)
}

fn main() {
    let record = Record::create();
    guard(&record, Duration::from_secs(112));
    let platform = Platform::new(&record);
    platform.start_list();
    let behaviour = kit::Behaviour {
        work: Duration::from_millis(20),
        body_bytes: 400,
    };
    for (domain, _) in kit::DOMAINS {
        platform.add_server("views", domain, behaviour.clone());
        platform.add_server("orders", domain, behaviour.clone());
    }
    for n in 0..3 {
        platform.start_control(n, true);
        platform.start_entry(n);
    }
    if !platform.put_config(&document(1), Duration::from_secs(20)) {
        finish(&record, NOT_RUN, "the first configuration was not accepted");
    }
    (0..3).for_each(|n| platform.wait_until_served(n, "/views/x"));
    let names = ["core-0", "core-1", "core-2"];
    let kills = names.map(|name| platform.limit_memory(name, MEMORY_MIB, true));
    let changes = if without_trouble() { CALM_CHANGES } else { CHANGES };
    record.line(&format!("{changes} changes, {} bytes each", document(1).len()));
    let mut acknowledged = 1;
    let mut unacknowledged = 0;
    for version in 2..changes + 2 {
        if record.seconds() > LAST_CHANGE || unacknowledged >= MAX_UNACKNOWLEDGED {
            break;
        }
        let sent = Instant::now();
        match platform.put_config(&document(version), ACK_TIMEOUT) {
            true => acknowledged = version,
            false => {
                unacknowledged += 1;
                record.line(&format!("change {version}: no acknowledgment"));
            }
        }
        if version % 20 == 0 {
            let memory = names.map(|name| platform.memory_mib(name));
            record.line(&format!(
                "change {version} done; memory of the replicas {memory:?} MiB"
            ));
        }
        thread::sleep(GAP.saturating_sub(sent.elapsed()));
    }
    record.line(&format!(
        "newest acknowledged {acknowledged:08x}; {unacknowledged} without acknowledgment"
    ));
    let expected = format!("\"version\":\"{acknowledged:08x}\"");
    let until = Instant::now() + READ_BACK;
    let mut newest_read = None;
    while Instant::now() < until && newest_read.is_none() {
        for n in 0..3 {
            let answer = call(&platform.operator(n), "GET", "/v1/Config.Get", &[], "");
            let text = match &answer {
                Ok(a) => format!("{} {}", a.status, a.text().chars().take(60).collect::<String>()),
                Err(e) => format!("no answer ({e})"),
            };
            record.line(&format!("read back from core-{n}: {text}"));
            if let Ok(a) = answer
                && a.status == 200
            {
                newest_read = Some(a.text());
            }
        }
        thread::sleep(Duration::from_millis(500));
    }
    let ends = kills.map(|k| k.lock().unwrap().len());
    record.line(&format!(
        "ends of the replicas by themselves (memory over the limit): {ends:?}"
    ));
    let is_fault = ends.iter().filter(|n| **n >= MAX_ENDS).count() * 2 >= ends.len();
    match newest_read {
        None => finish(
            &record,
            BROKEN,
            "CONFIG: read back at the end, the configuration does not come",
        ),
        // Changes without a clear answer may be in force, and have higher versions.
        Some(text) if unacknowledged == 0 && !text.contains(&expected) => finish(
            &record,
            BROKEN,
            "CONFIG: read back at the end, the configuration is not the newest acknowledged",
        ),
        Some(_) if is_fault => finish(
            &record,
            BROKEN,
            "Fault: half of the core ended by itself three times",
        ),
        Some(_) => finish(&record, HELD, "the configuration was read back"),
    }
}
