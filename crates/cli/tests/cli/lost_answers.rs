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
    /// Servers: `closed`, `silent`, `https`, and `good` for one that works.
    servers: &'static [&'static str],
    answers_to_lose: u32,
    exit: Exit,
    /// Changes of the limit that the state must hold at the end.
    changes: usize,
}

#[actix_web::test]
async fn lost_answers() {
    let case = |guards, servers, answers_to_lose, exit, changes| Case {
        guards,
        servers,
        answers_to_lose,
        exit,
        changes,
    };
    let second = "giving up while another replica would answer";
    let may_be = "reporting a change as not made when it may have been";
    let forgotten = "forgetting a lost answer because the last attempt had no connection";
    let cases = [
        case(
            "a change made twice after lost answers",
            &["good"],
            2,
            Exit::Done,
            1,
        ),
        case(second, &["closed", "silent", "good"], 0, Exit::Done, 1),
        case(may_be, &["good"], 6, Exit::Unknown, 1),
        case(forgotten, &["silent", "closed"], 0, Exit::Unknown, 0),
        case(
            "an unknown result with nothing sent",
            &["closed"],
            0,
            Exit::Unavailable,
            0,
        ),
        case(
            "repeating what cannot succeed",
            &["https"],
            0,
            Exit::Usage,
            0,
        ),
    ];
    for case in cases {
        let backend = Arc::new(StateBackend::new());
        let server = start(backend.clone());
        let at = case.guards;
        *backend.responses_to_drop.lock().unwrap() = case.answers_to_lose;
        let url = |name: &&str| match *name {
            "closed" => closed(),
            "silent" => silent(),
            "https" => "https://127.0.0.1:1".to_string(),
            _ => server.clone(),
        };
        let servers: Vec<String> = case.servers.iter().map(url).collect();
        let limit = ["region", "limit", "r0", "50", "--base", "100"];
        let result = run(&servers.join(","), &limit).await;
        let exit = result.as_ref().map_or_else(|f| f.exit, |d| d.exit);
        assert_eq!(exit, case.exit, "{at}: {result:?}");
        let audit = run(&server, &["audit"]).await.unwrap().text;
        let changes = audit.matches("set_region_limit").count();
        assert_eq!(changes, case.changes, "{at}: {audit}");
        if case.servers == ["good"] && case.exit == Exit::Unknown {
            let message = result.unwrap_err().message;
            let id = message.rsplit(' ').next().unwrap();
            let again: Vec<&str> = ["--request-id", id].iter().chain(&limit).copied().collect();
            let again = run(&server, &again).await.unwrap();
            assert_eq!(again.exit, Exit::Done, "{at}");
        }
    }
}
