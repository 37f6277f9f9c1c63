//! Guards against actions that run twice, and against "not run" answers for actions that ran, when
//! keys are repeated and processes fail in the middle of an action.

use awc::Client;
use mangospindle_harness::{Cluster, ClusterSpec, Example, Node, wait_until};
use mangospindle_model::EntryId;
use mangospindle_standin::{Behaviour, Failure};
use nix::sys::signal::Signal;
use std::time::Duration;

/// Status, `x-request-run` header and body of an answer; no status if there was no answer.
#[derive(Clone, Debug, PartialEq)]
struct Answer {
    status: Option<u16>,
    run: String,
    body: String,
}

async fn post(cluster: &Cluster, entry: u16, key: Option<&str>, body: &str) -> Answer {
    let address = cluster.entry_address(EntryId(entry));
    let mut req = Client::builder()
        .disable_timeout()
        .finish()
        .post(format!("http://{address}/s/fianzas/charge"))
        .insert_header(("x-deadline-ms", "4000"));
    if let Some(key) = key {
        req = req.insert_header(("idempotency-key", key));
    }
    match req.send_body(body.to_string()).await {
        Ok(mut answer) => {
            let run = answer.headers().get("x-request-run");
            let run = run.and_then(|v| v.to_str().ok()).unwrap_or("").to_string();
            let body = answer.body().await.unwrap_or_default();
            Answer {
                status: Some(answer.status().as_u16()),
                run,
                body: String::from_utf8_lossy(&body).into_owned(),
            }
        }
        Err(_) => Answer {
            status: None,
            run: String::new(),
            body: String::new(),
        },
    }
}

async fn executions(cluster: &Cluster, key: &str) -> u32 {
    let report = cluster.standins.report().await.expect("stand-ins report");
    (report.endpoints.values())
        .filter_map(|e| e.executions.get(key))
        .sum()
}

async fn start(service_time_ms: u64) -> Cluster {
    let mut spec = ClusterSpec::new(Example::Cantabrica);
    spec.service_time_ms = service_time_ms;
    Cluster::start(spec).await.expect("cluster starts")
}

#[actix_rt::test]
async fn keys_are_checked_and_answers_replayed() {
    struct Case {
        name: &'static str,
        entry: u16,
        key: Option<&'static str>,
        body: &'static str,
        status: u16,
        run: &'static str,
        executions: u32,
    }
    let cases = [
        Case {
            name: "no key",
            entry: 0,
            key: None,
            body: "1 EUR",
            status: 400,
            run: "no",
            executions: 0,
        },
        Case {
            name: "first",
            entry: 0,
            key: Some("k"),
            body: "1 EUR",
            status: 200,
            run: "",
            executions: 1,
        },
        Case {
            name: "resent to another entry",
            entry: 8,
            key: Some("k"),
            body: "1 EUR",
            status: 200,
            run: "",
            executions: 1,
        },
        Case {
            name: "resent with another body",
            entry: 4,
            key: Some("k"),
            body: "2 EUR",
            status: 422,
            run: "no",
            executions: 1,
        },
    ];
    let cluster = start(20).await;
    let mut first = None;
    for case in cases {
        let answer = post(&cluster, case.entry, case.key, case.body).await;
        assert_eq!(
            answer.status,
            Some(case.status),
            "{}: {answer:?}",
            case.name
        );
        assert_eq!(answer.run, case.run, "{}", case.name);
        let count = executions(&cluster, "k").await;
        assert_eq!(count, case.executions, "{}", case.name);
        if case.status == 200 {
            let first = first.get_or_insert_with(|| answer.body.clone());
            assert_eq!(answer.body, *first, "{}", case.name);
        }
    }
}

#[actix_rt::test]
async fn same_key_through_all_entries_at_once() {
    let cluster = start(300).await;
    for round in 0..5 {
        let key = format!("race-{round}");
        let calls = (0..9).map(|entry| post(&cluster, entry, Some(&key), "charge"));
        let answers = futures::future::join_all(calls).await;
        assert_eq!(executions(&cluster, &key).await, 1, "{answers:?}");
        let done = answers.iter().filter(|a| a.status == Some(200)).count();
        assert!(done >= 1, "{answers:?}");
        assert!(
            answers
                .iter()
                .all(|a| a.status == Some(200) || a.run != "no"),
            "{answers:?}"
        );
    }
}

#[actix_rt::test]
async fn ingress_entry_fails_during_an_action() {
    #[derive(Clone, Copy, Debug)]
    enum Failure {
        Kill,
        Freeze,
    }
    struct Case {
        failure: Failure,
        /// Time between the start of the action and the failure.
        after_ms: u64,
    }
    let mut cluster = start(400).await;
    let delays = [0, 5, 20, 100, 300];
    let cases = delays.iter().flat_map(|after_ms| {
        [Failure::Kill, Failure::Freeze].map(|failure| Case {
            failure,
            after_ms: *after_ms,
        })
    });
    for (i, case) in cases.enumerate() {
        let what = format!("{:?} after {} ms", case.failure, case.after_ms);
        let key = format!("fail-{i}");
        let (address, sent_key) = (cluster.entry_address(EntryId(0)), key.clone());
        let first = actix_rt::spawn(async move {
            let req = Client::default().post(format!("http://{address}/s/fianzas/charge"));
            let req = req.insert_header(("idempotency-key", sent_key));
            req.insert_header(("x-deadline-ms", "2000"))
                .send_body("charge")
                .await
                .is_ok()
        });
        actix_rt::time::sleep(Duration::from_millis(case.after_ms)).await;
        match case.failure {
            Failure::Kill => cluster.kill(Node::Entry(0)).expect("killed"),
            Failure::Freeze => {
                let entry = cluster.process(Node::Entry(0)).expect("runs");
                entry.signal(Signal::SIGSTOP).expect("stopped");
            }
        }
        let mut refused = 0;
        for entry in [3, 6] {
            let answer = post(&cluster, entry, Some(&key), "charge").await;
            let count = executions(&cluster, &key).await;
            assert!(count <= 1, "{what}: {answer:?}");
            refused += u32::from(answer.run == "no");
        }
        match case.failure {
            Failure::Kill => cluster.start_entry(EntryId(0)).expect("restarted"),
            Failure::Freeze => {
                // Longer than the deadline of the first attempt.
                actix_rt::time::sleep(Duration::from_secs(2)).await;
                let entry = cluster.process(Node::Entry(0)).expect("runs");
                entry.signal(Signal::SIGCONT).expect("continued");
            }
        }
        let _answered = first.await;
        cluster.wait_ready(EntryId(0)).await.expect("ready again");
        actix_rt::time::sleep(Duration::from_millis(600)).await;
        let count = executions(&cluster, &key).await;
        assert!(count <= 1, "{what}: ran {count} times, refused {refused}");
    }
}

#[actix_rt::test]
async fn stalled_endpoint_leaves_an_unknown_outcome() {
    let cluster = start(20).await;
    let stall = Behaviour {
        failure: Failure::Stall,
        ..Behaviour::default()
    };
    cluster
        .standins
        .set_behaviour(&[], stall)
        .await
        .expect("changed");
    let answer = post(&cluster, 0, Some("stalled"), "charge").await;
    assert_eq!(
        (answer.status, answer.run.as_str()),
        (Some(504), "unknown"),
        "{answer:?}"
    );
    let normal = Behaviour::default();
    cluster
        .standins
        .set_behaviour(&[], normal)
        .await
        .expect("changed");
    let answer = post(&cluster, 4, Some("stalled"), "charge").await;
    assert_ne!(answer.status, Some(200), "{answer:?}");
    assert_eq!(answer.run, "unknown", "{answer:?}");
    assert_eq!(executions(&cluster, "stalled").await, 0);
}

#[actix_rt::test]
async fn without_a_majority_actions_are_refused_as_not_run() {
    let mut cluster = start(20).await;
    for replica in [1, 2, 3] {
        cluster.kill(Node::Control(replica)).expect("killed");
    }
    let answer = post(&cluster, 0, Some("lonely"), "charge").await;
    assert_eq!(
        (answer.status, answer.run.as_str()),
        (Some(503), "no"),
        "{answer:?}"
    );
    for replica in [1, 2, 3] {
        cluster.start_control(replica).expect("restarted");
    }
    // The same key may run now, once.
    let limit = Duration::from_secs(30);
    let done = wait_until("the action runs", limit, || async {
        post(&cluster, 0, Some("lonely"), "charge").await.status == Some(200)
    });
    done.await.expect("runs after the majority is back");
    assert_eq!(executions(&cluster, "lonely").await, 1);
}
