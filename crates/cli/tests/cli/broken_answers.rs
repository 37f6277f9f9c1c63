use crate::server::run;
use futures::future::join_all;
use mangospindle_cli::{Exit, Failure};
use std::io::{Read, Write};
use std::net::TcpListener;

/// A listener that sends these bytes in place of an answer and closes the connection.
fn broken(answer: String) -> String {
    let listener = TcpListener::bind(("127.0.0.1", 0)).unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            if matches!(stream.read(&mut [0; 4096]), Ok(n) if n > 0) {
                stream.write_all(answer.as_bytes()).unwrap();
            }
        }
    });
    format!("http://{address}")
}

/// Guards against a change that is reported as made, or as refused, on the word of a broken answer.
#[actix_web::test]
async fn broken_answers() {
    let limit = ["region", "limit", "r0", "50", "--base", "100"];
    let body = r#"{"version": 101}"#;
    let length = body.len();
    let sound = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{body}");
    let done = run(&broken(sound.clone()), &limit).await;
    assert!(matches!(&done, Ok(d) if d.exit == Exit::Done), "{done:?}");
    let mut answers = vec![
        sound.replace("200 OK", "000 Trouble"),
        sound[..sound.len() - 1].to_string(),
    ];
    for status in ["200 OK", "409 Conflict"] {
        for byte in [' ', '\t', '\x01', '\x7f'] {
            for name in [
                format!("{byte}content-length"),
                format!("content{byte}-length"),
                format!("content-length{byte}"),
            ] {
                answers.push(format!(
                    "HTTP/1.1 {status}\r\n{name}: {length}\r\n\r\n{body}"
                ));
            }
        }
    }
    // Each command repeats its request for some seconds.
    let results = answers.into_iter().map(|answer| async {
        let result = run(&broken(answer.clone()), &limit).await;
        (answer, result)
    });
    for (answer, result) in join_all(results).await {
        let unknown = matches!(
            &result,
            Err(Failure {
                exit: Exit::Unknown,
                ..
            })
        );
        assert!(unknown, "{answer:?}: {result:?}");
    }
}
