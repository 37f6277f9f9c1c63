//! Tests of status lines and fields that an endpoint in trouble may send.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use actix_web::http::Method;
use actix_web::http::header::HeaderMap;
use mangospindle_client::{
    BodyFraming, Connection, Exchange, ExchangeError, ExpectedId, Lease, Pool, RequestHead,
    RequestWriter,
};
use mangospindle_model::MonotonicClock;
use std::future::poll_fn;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

const TIMEOUT: Duration = Duration::from_secs(2);

/// Status of the response that is taken from these bytes, and whether the connection carries a further
/// request.
async fn exchange(bytes: &str) -> Result<(u16, bool), ExchangeError> {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let pool: Arc<Pool<u8>> = Pool::new(Box::new(|_| {}));
    let mut lease = Lease::unopened(Arc::clone(&pool), 1);
    let opened = Connection::open(address, Duration::ZERO, TIMEOUT).await;
    lease.set_connection(opened.unwrap());
    let (mut peer, _) = listener.accept().await.unwrap();
    peer.write_all(bytes.as_bytes()).await.unwrap();
    let head = RequestHead {
        method: Method::GET,
        path: "/x".to_string(),
        headers: HeaderMap::new(),
    };
    let writer = RequestWriter::new(head, "peer", BodyFraming::None, None).unwrap();
    let mut exchange = Exchange::new(lease, Method::GET, writer, ExpectedId::in_success(""));
    let clock = MonotonicClock::new();
    let sent = tokio::time::timeout(TIMEOUT, exchange.send_request(&clock));
    let head = sent.await.unwrap()?;
    while let Some(chunk) = poll_fn(|cx| exchange.poll_chunk(cx)).await {
        chunk?;
    }
    drop(exchange);
    let reusable = pool.acquire(1, Duration::ZERO, Duration::ZERO).is_some();
    Ok((head.status.as_u16(), reusable))
}

/// Guards against callers that get a status which HTTP does not define as an answer, and against bytes after a
/// response without a body that are taken for the next one.
#[actix_rt::test]
async fn only_final_status_codes_are_answers() {
    struct Case {
        name: &'static str,
        bytes: &'static str,
        /// Status of the answer and whether the connection is used again; `None` if there is no answer.
        expected: Option<(u16, bool)>,
    }
    let cases = [
        Case {
            name: "000",
            bytes: "HTTP/1.1 000 X\r\ncontent-length: 0\r\n\r\n",
            expected: None,
        },
        Case {
            name: "below 100",
            bytes: "HTTP/1.1 099 X\r\ncontent-length: 0\r\n\r\n",
            expected: None,
        },
        Case {
            name: "two digits",
            bytes: "HTTP/1.1 20 X\r\ncontent-length: 0\r\n\r\n",
            expected: None,
        },
        Case {
            name: "just above the defined classes",
            bytes: "HTTP/1.1 600 X\r\ncontent-length: 0\r\n\r\n",
            expected: None,
        },
        Case {
            name: "the highest of three digits",
            bytes: "HTTP/1.1 999 X\r\ncontent-length: 0\r\n\r\n",
            expected: None,
        },
        Case {
            name: "the highest defined class",
            bytes: "HTTP/1.1 599 X\r\ncontent-length: 0\r\n\r\n",
            expected: Some((599, true)),
        },
        Case {
            name: "interim responses before the final one",
            bytes: "HTTP/1.1 100 X\r\n\r\nHTTP/1.1 103 X\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n",
            expected: Some((200, true)),
        },
        Case {
            name: "a change of protocol that was not asked for",
            bytes: "HTTP/1.1 101 X\r\nupgrade: other\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n",
            expected: None,
        },
        Case {
            name: "an interim response after the final one",
            bytes: "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\nHTTP/1.1 100 X\r\n\r\n",
            expected: Some((200, false)),
        },
        Case {
            name: "204 with a body",
            bytes: "HTTP/1.1 204 X\r\ncontent-length: 2\r\n\r\nhi",
            expected: Some((204, false)),
        },
        Case {
            name: "304 with a body",
            bytes: "HTTP/1.1 304 X\r\ncontent-length: 2\r\n\r\nhi",
            expected: Some((304, false)),
        },
        Case {
            name: "two status lines",
            bytes: "HTTP/1.1 200 OK\r\nHTTP/1.1 503 X\r\ncontent-length: 0\r\n\r\n",
            expected: None,
        },
    ];
    for case in cases {
        let result = exchange(case.bytes).await;
        assert_eq!(
            result.as_ref().ok(),
            case.expected.as_ref(),
            "{}: {result:?}",
            case.name
        );
    }
}

/// Guards against heads in which the name of a field has a blank or a control byte. Readers of such a line differ in
/// which field it is, and so in where the body ends.
#[actix_rt::test]
async fn only_tokens_are_names_of_fields() {
    const BYTES: [char; 9] = [
        ' ', '\t', '\0', '\x01', '\x0b', '\x0c', '\r', '\x1b', '\x7f',
    ];
    let fields = [
        ("x-note", "a"),
        ("content-length", "2"),
        ("transfer-encoding", "chunked"),
        ("connection", "close"),
    ];
    for (name, value) in fields {
        let (start, rest) = name.split_at(3);
        for byte in BYTES {
            let lines = [
                format!("{byte}{name}: {value}\r\n"),
                format!("{start}{byte}{rest}: {value}\r\n"),
                format!("{name}{byte}: {value}\r\n"),
                format!("{name}{byte}{byte}: {value}\r\n"),
            ];
            for line in lines {
                let heads = [
                    line.clone(),
                    format!("{line}content-length: 2\r\n"),
                    format!("content-length: 2\r\n{line}"),
                ];
                for head in heads {
                    for interim in ["", "HTTP/1.1 103 X\r\n\r\n"] {
                        let bytes = format!("{interim}HTTP/1.1 200 OK\r\n{head}\r\nhi");
                        let result = exchange(&bytes).await;
                        assert_eq!(result, Err(ExchangeError::Malformed), "{bytes:?}");
                    }
                }
                let bytes = format!(
                    "HTTP/1.1 103 X\r\n{line}\r\nHTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nhi"
                );
                let result = exchange(&bytes).await;
                assert_eq!(result, Err(ExchangeError::Malformed), "{bytes:?}");
            }
        }
    }
}

/// Guards against sound heads that are rejected for the form of a field.
#[actix_rt::test]
async fn sound_fields_are_accepted() {
    let lines = [
        "x-note: a",
        "x-note:a",
        "x-note: \t a \t ",
        "x-note:",
        "X-NOTE: a",
        "!#$%&'*+-.^_`|~09azAZ: a",
        "x-note: a: b",
    ];
    for line in lines {
        let bytes = format!("HTTP/1.1 200 OK\r\n{line}\r\ncontent-length: 2\r\n\r\nhi");
        assert_eq!(exchange(&bytes).await, Ok((200, true)), "{line:?}");
    }
}
