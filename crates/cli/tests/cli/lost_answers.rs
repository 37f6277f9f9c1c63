use crate::backend::StateBackend;
use crate::server::{run, start};
use mangospindle_cli::Exit;
use std::io::Read;
use std::net::TcpListener;
use std::sync::Arc;

/// A listener that reads each request and closes the connection without an answer.
fn silent() -> String {
    let listener = TcpListener::bind(("127.0.0.1", 0)).unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let _ = stream.and_then(|mut s| s.read(&mut [0; 4096]));
        }
    });
    format!("http://{address}")
}

/// An address that nothing listens on.
fn closed() -> String {
    let listener = TcpListener::bind(("127.0.0.1", 0)).unwrap();
    format!("http://{}", listener.local_addr().unwrap())
}

struct Case {
    /// The failure that the case guards against.
    guards: &'static str,
    /// Servers before the one that works, if there is one.
    before: Vec<String>,
    works: bool,
    answers_to_lose: u32,
    exit: Exit,
    /// Changes of the limit that the state must hold at the end.
    changes: u64,
}

#[actix_web::test]
async fn lost_answers() {
    let cases = [
        Case {
            guards: "a change made twice after lost answers",
            before: vec![],
            works: true,
            answers_to_lose: 2,
            exit: Exit::Done,
            changes: 1,
        },
        Case {
            guards: "giving up while another replica would answer",
            before: vec![closed(), silent()],
            works: true,
            answers_to_lose: 0,
            exit: Exit::Done,
            changes: 1,
        },
        Case {
            guards: "reporting a change as not made when it may have been",
            before: vec![],
            works: true,
            answers_to_lose: 6,
            exit: Exit::Unknown,
            changes: 1,
        },
        Case {
            guards: "forgetting a lost answer because the last attempt had no connection",
            before: vec![silent(), closed()],
            works: false,
            answers_to_lose: 0,
            exit: Exit::Unknown,
            changes: 0,
        },
        Case {
            guards: "reporting an unknown result when nothing was sent",
            before: vec![closed()],
            works: false,
            answers_to_lose: 0,
            exit: Exit::Unavailable,
            changes: 0,
        },
        Case {
            guards: "repeating what cannot succeed",
            before: vec!["https://127.0.0.1:1".to_string()],
            works: false,
            answers_to_lose: 0,
            exit: Exit::Usage,
            changes: 0,
        },
    ];
    for case in cases {
        let backend = Arc::new(StateBackend::new());
        let server = start(backend.clone());
        let at = case.guards;
        *backend.answers_to_lose.lock().unwrap() = case.answers_to_lose;
        let mut servers = case.before.clone();
        servers.extend(case.works.then(|| server.clone()));
        let limit = ["region", "limit", "r0", "50", "--base", "100"];
        let result = run(&servers.join(","), &limit).await;
        let exit = result.as_ref().map_or_else(|f| f.exit, |d| d.exit);
        assert_eq!(exit, case.exit, "{at}: {result:?}");
        let audit = run(&server, &["audit"]).await.unwrap().text;
        let changes = audit.matches("set_region_limit").count() as u64;
        assert_eq!(changes, case.changes, "{at}: {audit}");
        if case.works && case.exit == Exit::Unknown {
            let message = result.unwrap_err().message;
            let id = message.rsplit(' ').next().unwrap();
            let again: Vec<&str> = ["--request-id", id].iter().chain(&limit).copied().collect();
            let again = run(&server, &again).await.unwrap();
            assert_eq!(again.exit, Exit::Done, "{at}");
        }
    }
}
