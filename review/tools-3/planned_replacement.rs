//! review/11: a machine of the core is replaced as planned, then another one loses its disk.

#[path = "lab.rs"]
mod lab;

use lab::*;
use std::thread::sleep;
use std::time::{Duration, Instant};

const ZONES: [(&str, &str); 3] = [("a", "north"), ("b", "middle"), ("c", "south")];

/// Bounds of the small sites.
const CATCH_UP: Duration = Duration::from_secs(4);
const CONTACT: Duration = Duration::from_secs(3);
const RECOVERY: Duration = Duration::from_secs(15);
const GRACE: Duration = Duration::from_secs(6);

fn run() -> Option<bool> {
    let lab = Lab::new(&ZONES).ok()?;
    let mut cores = Vec::new();
    for n in 0..3 {
        cores.push(lab.start_core(n, &[0, 1, 2], true).ok()?);
    }
    let document = |version| config(version, &["views"], &path("views", "/views/", "safe", "views"));
    let by = lab.order(&[0, 1, 2], "/v1/Config.Put", &document(1), Duration::from_secs(20))?;
    record(format!("config 00000001 acknowledged by core-{by}"));
    sleep(CATCH_UP);
    let mut running: Vec<u8> = vec![0, 1, 2];
    if trouble() {
        record("core-3 starts with an empty disk, as the successor of core-0");
        cores.push(lab.start_core(3, &[0, 1, 2], false).ok()?);
        sleep(CATCH_UP);
        record("core-0 gets SIGTERM and leaves for good");
        cores[0].signal(SIGTERM);
        let ended = cores[0].wait(GRACE);
        record(format!("core-0 ended within the grace time: {ended}"));
        cores[0].kill();
        running = vec![1, 2, 3];
        // The machine that left stops counting as lost after this time, and three more times over.
        sleep(CATCH_UP * 4);
    }
    let by = lab.order(&running, "/v1/Config.Put", &document(2), Duration::from_secs(4))?;
    record(format!("config 00000002 acknowledged by core-{by}"));
    if trouble() {
        record("core-1 is killed, loses its disk and starts again, with bootstrap=false");
        cores[1].kill();
        std::fs::remove_dir_all(lab.data_dir(1)).ok()?;
        sleep(Duration::from_secs(1));
        cores[1] = lab.start_core(1, &[1, 2, 3], false).ok()?;
    }
    sleep(RECOVERY);
    record("reading the config back, for twice the time of contact");
    let end = Instant::now() + CONTACT * 2;
    let mut newest = false;
    while Instant::now() < end && !newest {
        for n in &running {
            let (status, text) = lab.read_config(*n);
            let version = text.split('"').nth(3).unwrap_or("-").to_string();
            record(format!("core-{n}: status {status}, version {version}"));
            newest |= status == 200 && version == "00000002";
        }
        sleep(Duration::from_millis(500));
    }
    let again = lab.order(&running, "/v1/Config.Put", &document(3), Duration::from_secs(8));
    record(format!("config 00000003 acknowledged: {}", again.is_some()));
    if let Ok(keep) = std::env::var("KEEP_LOGS") {
        lab.keep_logs(std::path::Path::new(&keep));
    }
    Some(newest)
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
