use socket2::SockRef;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// A step of a scripted response.
#[derive(Clone, Debug)]
pub enum ScriptStep {
    Send(Vec<u8>),
    WaitMs(u64),
    /// Reads the body before the next step.
    ReadBody,
    Close,
    /// Resets the connection.
    Reset,
    /// Neither responds nor closes the connection, but records when the peer closes it.
    Stall,
}

/// A request that the endpoint received.
#[derive(Clone, Debug, Default)]
pub struct ReceivedRequest {
    pub head: String,
    pub body_bytes: usize,
    pub connection: usize,
    /// Whether the peer closed the connection before the response was sent.
    pub disconnected: bool,
}

impl ReceivedRequest {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.lines().find_map(|line| {
            let (n, value) = line.split_once(": ")?;
            n.eq_ignore_ascii_case(name).then_some(value)
        })
    }
}

type Script = Box<dyn Fn(&ReceivedRequest) -> Vec<ScriptStep> + Send + Sync>;

/// An endpoint that follows a script for each request.
pub struct FakeEndpoint {
    pub address: SocketAddr,
    pub received: Arc<Mutex<Vec<ReceivedRequest>>>,
    pub open_connections: Arc<AtomicUsize>,
    /// Connections with a lower number neither respond nor close.
    pub silent_below: Arc<AtomicUsize>,
    /// State in the health response.
    pub health: Arc<Mutex<&'static str>>,
    script: Arc<Mutex<Script>>,
}

pub fn ok_response(body: &str) -> Vec<ScriptStep> {
    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
    vec![
        ScriptStep::ReadBody,
        ScriptStep::Send(format!("{head}{body}").into_bytes()),
    ]
}

impl FakeEndpoint {
    pub async fn start() -> FakeEndpoint {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let endpoint = FakeEndpoint {
            address: listener.local_addr().unwrap(),
            received: Arc::default(),
            open_connections: Arc::default(),
            silent_below: Arc::default(),
            health: Arc::new(Mutex::new("ok")),
            script: Arc::new(Mutex::new(Box::new(|_| ok_response("done")))),
        };
        let (received, open_connections) =
            (endpoint.received.clone(), endpoint.open_connections.clone());
        let (script, silent) = (endpoint.script.clone(), endpoint.silent_below.clone());
        let health = endpoint.health.clone();
        actix_rt::spawn(async move {
            for connection in 0.. {
                let (stream, _) = listener.accept().await.unwrap();
                open_connections.fetch_add(1, Ordering::SeqCst);
                let (received, open_connections, script) =
                    (received.clone(), open_connections.clone(), script.clone());
                let (silent, health) = (silent.clone(), health.clone());
                actix_rt::spawn(async move {
                    serve(stream, connection, &received, &script, &silent, &health).await;
                    open_connections.fetch_sub(1, Ordering::SeqCst);
                });
            }
        });
        endpoint
    }

    pub fn set_script<F>(&self, script: F)
    where
        F: Fn(&ReceivedRequest) -> Vec<ScriptStep> + Send + Sync + 'static,
    {
        *self.script.lock().unwrap() = Box::new(script);
    }

    pub fn requests(&self) -> Vec<ReceivedRequest> {
        self.received.lock().unwrap().clone()
    }
}

async fn serve(
    mut stream: TcpStream,
    connection: usize,
    received: &Mutex<Vec<ReceivedRequest>>,
    script: &Mutex<Script>,
    silent: &AtomicUsize,
    health: &Mutex<&'static str>,
) {
    let mut buf = Vec::new();
    loop {
        let end = loop {
            if let Some(at) = buf.windows(4).position(|w| w == b"\r\n\r\n") {
                break at + 4;
            }
            if !matches!(stream.read_buf(&mut buf).await, Ok(n) if n > 0) {
                return;
            }
        };
        let mut body: Vec<u8> = buf.split_off(end);
        if connection < silent.load(Ordering::SeqCst) {
            while matches!(stream.read(&mut [0; 4096]).await, Ok(n) if n > 0) {}
            return;
        }
        let head = String::from_utf8_lossy(&buf).into_owned();
        buf = Vec::new();
        if head.starts_with("GET /health") {
            let state = *health.lock().unwrap();
            let health = format!(r#"{{"state":"{state}","in_progress":0,"load":0.1}}"#);
            let head = format!(
                "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n",
                health.len()
            );
            if stream.write_all((head + &health).as_bytes()).await.is_err() {
                return;
            }
            buf = body;
            continue;
        }
        let request = ReceivedRequest {
            head,
            connection,
            ..ReceivedRequest::default()
        };
        let request_index = {
            let mut received = received.lock().unwrap();
            received.push(request.clone());
            received.len() - 1
        };
        let steps = (script.lock().unwrap())(&request);
        for step in steps {
            match step {
                ScriptStep::Send(bytes) if stream.write_all(&bytes).await.is_err() => return,
                ScriptStep::Send(_) => {}
                ScriptStep::WaitMs(ms) => tokio::time::sleep(Duration::from_millis(ms)).await,
                ScriptStep::Close => return,
                ScriptStep::Reset => {
                    let socket = SockRef::from(&stream);
                    socket.set_linger(Some(Duration::ZERO)).unwrap();
                    return;
                }
                ScriptStep::Stall => {
                    while matches!(stream.read(&mut [0; 4096]).await, Ok(n) if n > 0) {}
                    received.lock().unwrap()[request_index].disconnected = true;
                    return;
                }
                ScriptStep::ReadBody => {
                    let length = request.header("content-length").map(|v| v.parse().unwrap());
                    let chunked = request.header("transfer-encoding").is_some();
                    let is_complete = |body: &[u8]| match chunked {
                        true => body.ends_with(b"0\r\n\r\n"),
                        false => body.len() >= length.unwrap_or(0),
                    };
                    let mut total = body.len();
                    while !(chunked && is_complete(&body))
                        && (chunked || total < length.unwrap_or(0))
                    {
                        let mut chunk = vec![0; 64 * 1024];
                        match stream.read(&mut chunk).await {
                            Ok(n) if n > 0 => {
                                total += n;
                                if chunked {
                                    body.extend_from_slice(&chunk[..n]);
                                }
                            }
                            _ => {
                                received.lock().unwrap()[request_index].disconnected = true;
                                return;
                            }
                        }
                    }
                    received.lock().unwrap()[request_index].body_bytes = total;
                    body.clear();
                }
            }
        }
    }
}
