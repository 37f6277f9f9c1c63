//! A machine of the core is lost for good and replaced; the leader is killed once while that is under way.
//! Later two machines lose their disks.

#[path = "lab.rs"]
mod lab;

use lab::*;
use std::thread::sleep;
use std::time::{Duration, Instant};

const ZONES: [(&str, &str); 5] = [("a", "north"), ("b", "north"), ("c", "middle"), ("d", "middle"), ("e", "south")];
const CORES: [u8; 5] = [0, 1, 2, 3, 4];

/// Bounds of the sites that bear the loss of two machines.
const CATCH_UP: Duration = Duration::from_secs(6);
const CONTACT: Duration = Duration::from_secs(4);
const RECOVERY: Duration = Duration::from_secs(15);

fn run() -> Option<bool> {
    let lab = Lab::new(&ZONES).ok()?;
    let mut cores = Vec::new();
    for n in CORES {
        cores.push(lab.start_core(n, &[0, 1, 2], true).ok()?);
    }
    let document = |version| config(version, &["views"], &path("views", "/views/", "safe", "views"));
    lab.order(&CORES, "/v1/Config.Put", &document(1), Duration::from_secs(20))?;
    record("config 00000001 acknowledged");
    sleep(CATCH_UP);
    let leader = lab.leader(&CORES)?;
    let followers: Vec<u8> = CORES.into_iter().filter(|n| *n != leader).collect();
    let mut running: Vec<u8> = CORES.to_vec();
    if trouble() {
        let lost = followers[0];
        let seeds = [leader, followers[1], followers[2]];
        record(format!("core-{lost} is lost for good (core-{leader} leads)"));
        cores[usize::from(lost)].kill();
        sleep(Duration::from_millis(700));
        record("core-5 starts with an empty disk, as its successor");
        cores.push(lab.start_core(5, &seeds, false).ok()?);
        running = running.into_iter().filter(|n| *n != lost).chain([5]).collect();
        let is_voter = || lab.voters(leader).is_some_and(|v| v.contains(&5));
        if !wait_until(Duration::from_secs(2), is_voter) {
            return None;
        }
        record(format!("core-5 is a voter; core-{leader} is killed and starts again a second later"));
        cores[usize::from(leader)].kill();
        sleep(Duration::from_secs(1));
        cores[usize::from(leader)] = lab.start_core(leader, &[followers[1], followers[2], 5], false).ok()?;
        sleep(CATCH_UP * 3);
        let leader = lab.leader(&running)?;
        record(format!("core-{leader} leads; voters: {:?}", lab.voters(leader)));
    }
    lab.order(&running, "/v1/Config.Put", &document(2), Duration::from_secs(4))?;
    record("config 00000002 acknowledged");
    if trouble() {
        let wiped = [followers[1], followers[2]];
        let others: Vec<u8> = running.iter().copied().filter(|n| !wiped.contains(n)).collect();
        record(format!("core-{} and core-{} are killed, lose their disks and start again, with bootstrap=false", wiped[0], wiped[1]));
        for n in wiped {
            cores[usize::from(n)].kill();
            std::fs::remove_dir_all(lab.data_dir(n)).ok()?;
        }
        sleep(Duration::from_secs(1));
        for n in wiped {
            cores[usize::from(n)] = lab.start_core(n, &others, false).ok()?;
        }
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
