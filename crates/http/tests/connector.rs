//! Tests of the responses that clients of this project take.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use awc::Client;
use mangospindle_http::{ConditionalGet, checked_connector};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

const TIMEOUT: Duration = Duration::from_secs(5);

/// Sends these responses to the requests on each connection, in this order, and closes the connection after the
/// last one.
async fn start_server(responses: Vec<String>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    actix_rt::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            for response in &responses {
                let mut request = [0; 4096];
                if !matches!(stream.read(&mut request).await, Ok(n) if n > 0) {
                    break;
                }
                stream.write_all(response.as_bytes()).await.unwrap();
            }
        }
    });
    address
}

fn client() -> Client {
    Client::builder()
        .connector(checked_connector())
        .timeout(TIMEOUT)
        .finish()
}

/// Status and body of the response to a request, or the error.
async fn get(client: &Client, address: SocketAddr) -> Result<(u16, String), String> {
    let request = client.get(format!("http://{address}/x"));
    let mut response = request.send().await.map_err(|e| e.to_string())?;
    let body = response.body().await.map_err(|e| e.to_string())?;
    Ok((
        response.status().as_u16(),
        String::from_utf8(body.to_vec()).unwrap(),
    ))
}

/// Guards against responses that a client takes although the name of a field in their head has a blank or a control
/// byte, or although their status is not defined.
#[actix_rt::test]
async fn malformed_heads_are_errors() {
    let mut heads = vec![
        "HTTP/1.1 000 X\r\ncontent-length: 2\r\n".to_string(),
        "HTTP/1.1 000\r\ncontent-length: 2\r\n".to_string(),
    ];
    for byte in [' ', '\t', '\0', '\x01', '\x0b', '\r', '\x7f'] {
        heads.extend([
            format!("HTTP/1.1 200 OK\r\n{byte}content-length: 2\r\n"),
            format!("HTTP/1.1 200 OK\r\ncontent{byte}-length: 2\r\n"),
            format!("HTTP/1.1 200 OK\r\ncontent-length{byte}: 2\r\n"),
            format!("HTTP/1.1 200 OK\r\ncontent-length: 2\r\nx-note{byte}: a\r\n"),
        ]);
    }
    for head in heads {
        let address = start_server(vec![format!("{head}\r\n{{}}")]).await;
        let result = get(&client(), address).await;
        assert!(result.is_err(), "{head:?}: {result:?}");
    }
}

/// Guards against a malformed head after a sound response on the same connection.
#[actix_rt::test]
async fn each_response_on_a_connection_is_checked() {
    let sound = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}".to_string();
    let malformed = "HTTP/1.1 200 OK\r\ncontent-length : 2\r\n\r\n{}".to_string();
    let address = start_server(vec![sound.clone(), sound, malformed]).await;
    let client = client();
    for _ in 0..2 {
        assert_eq!(get(&client, address).await, Ok((200, "{}".to_string())));
    }
    let result = get(&client, address).await;
    assert!(result.is_err(), "{result:?}");
}

/// Guards against sound responses that are rejected, also if their head arrives in pieces or their body is like a
/// head.
#[actix_rt::test]
async fn sound_responses_are_taken() {
    let body = "HTTP/1.1 200 OK\r\nx : a\r\n\r\n";
    let length = body.len();
    let cases = [
        format!("HTTP/1.1 200 OK\r\ncontent-length:  {length} \r\nX-Note:\r\n\r\n{body}"),
        format!(
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n{length:x}\r\n{body}\r\n0\r\n\r\n"
        ),
        format!("HTTP/1.0 200 OK\r\n\r\n{body}"),
    ];
    for response in cases {
        let address = start_server(vec![response.clone()]).await;
        let result = get(&client(), address).await;
        assert_eq!(result, Ok((200, body.to_string())), "{response:?}");
    }
}

/// Guards against a document that is replaced by that of a malformed response.
#[actix_rt::test]
async fn documents_of_malformed_responses_are_not_read() {
    let sound = "HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\n7".to_string();
    let malformed = [
        "HTTP/1.1 200 OK\r\ncontent-length : 1\r\n\r\n8".to_string(),
        "HTTP/1.1 000 X\r\ncontent-length: 1\r\n\r\n8".to_string(),
    ];
    for response in malformed {
        let address = start_server(vec![sound.clone(), response.clone()]).await;
        let url = format!("http://{address}/x");
        let mut document = ConditionalGet::<u8>::new(url, TIMEOUT, 1024);
        assert_eq!(document.read().await, Ok(&7));
        assert!(document.read().await.is_err(), "{response:?}");
    }
}

/// Guards against a part of a response that is taken for all of it.
#[actix_rt::test]
async fn truncated_bodies_are_errors() {
    let cases = [
        "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\npart",
        "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n",
        "HTTP/1.0 200 OK\r\nContent-Length: 9\r\n\r\npart",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\npart\r\n",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n9\r\npart",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
    ];
    for response in cases {
        let address = start_server(vec![response.to_string()]).await;
        let result = get(&client(), address).await;
        assert!(result.is_err(), "{response:?}: {result:?}");
    }
}

/// Guards against the end of a process because the name of a field is too long for the codec.
#[actix_rt::test]
async fn long_heads_are_errors() {
    for length in [32 * 1024, 65_535, 65_536, 100_000, 200_000] {
        let name = "a".repeat(length);
        for line in [format!("{name}: b"), format!("x-note: {name}")] {
            let head = format!("HTTP/1.1 200 OK\r\n{line}\r\ncontent-length: 2\r\n\r\n{{}}");
            let address = start_server(vec![head]).await;
            let result = get(&client(), address).await;
            assert!(result.is_err(), "{length} bytes: {result:?}");
        }
    }
}
