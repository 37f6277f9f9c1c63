use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// One step of an answer.
#[derive(Clone, Debug)]
pub enum Act {
    Send(Vec<u8>),
    Wait(u64),
    /// Reads the body before the next step.
    ReadBody,
    Close,
    /// Neither answers nor closes, but notices when the other side closes.
    Stall,
}

/// A request as the endpoint saw it.
#[derive(Clone, Debug, Default)]
pub struct Seen {
    pub head: String,
    pub body_bytes: usize,
    pub connection: usize,
    /// Whether the connection was closed by the other side before the answer was sent.
    pub gone: bool,
}

impl Seen {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.lines().find_map(|line| {
            let (n, value) = line.split_once(": ")?;
            n.eq_ignore_ascii_case(name).then_some(value)
        })
    }
}

type Script = Box<dyn Fn(&Seen) -> Vec<Act> + Send + Sync>;

/// An endpoint that follows a script.
pub struct FakeEndpoint {
    pub address: SocketAddr,
    pub seen: Arc<Mutex<Vec<Seen>>>,
    pub open: Arc<AtomicUsize>,
    /// Connections with a lower number neither answer nor close.
    pub silent_below: Arc<AtomicUsize>,
    /// State in the health answer.
    pub health: Arc<Mutex<&'static str>>,
    script: Arc<Mutex<Script>>,
}

pub fn ok(body: &str) -> Vec<Act> {
    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
    vec![
        Act::ReadBody,
        Act::Send(format!("{head}{body}").into_bytes()),
    ]
}

impl FakeEndpoint {
    pub async fn start() -> FakeEndpoint {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let endpoint = FakeEndpoint {
            address: listener.local_addr().unwrap(),
            seen: Arc::default(),
            open: Arc::default(),
            silent_below: Arc::default(),
            health: Arc::new(Mutex::new("ok")),
            script: Arc::new(Mutex::new(Box::new(|_| ok("done")))),
        };
        let (seen, open) = (endpoint.seen.clone(), endpoint.open.clone());
        let (script, silent) = (endpoint.script.clone(), endpoint.silent_below.clone());
        let health = endpoint.health.clone();
        actix_rt::spawn(async move {
            for connection in 0.. {
                let (stream, _) = listener.accept().await.unwrap();
                open.fetch_add(1, Ordering::SeqCst);
                let (seen, open, script) = (seen.clone(), open.clone(), script.clone());
                let (silent, health) = (silent.clone(), health.clone());
                actix_rt::spawn(async move {
                    serve(stream, connection, &seen, &script, &silent, &health).await;
                    open.fetch_sub(1, Ordering::SeqCst);
                });
            }
        });
        endpoint
    }

    pub fn script<F>(&self, script: F)
    where
        F: Fn(&Seen) -> Vec<Act> + Send + Sync + 'static,
    {
        *self.script.lock().unwrap() = Box::new(script);
    }

    pub fn requests(&self) -> Vec<Seen> {
        self.seen.lock().unwrap().clone()
    }
}

async fn serve(
    mut stream: TcpStream,
    connection: usize,
    seen: &Mutex<Vec<Seen>>,
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
        let request = Seen {
            head,
            connection,
            ..Seen::default()
        };
        let at = {
            let mut seen = seen.lock().unwrap();
            seen.push(request.clone());
            seen.len() - 1
        };
        let acts = (script.lock().unwrap())(&request);
        for act in acts {
            match act {
                Act::Send(bytes) if stream.write_all(&bytes).await.is_err() => return,
                Act::Send(_) => {}
                Act::Wait(ms) => tokio::time::sleep(Duration::from_millis(ms)).await,
                Act::Close => return,
                Act::Stall => {
                    while matches!(stream.read(&mut [0; 4096]).await, Ok(n) if n > 0) {}
                    seen.lock().unwrap()[at].gone = true;
                    return;
                }
                Act::ReadBody => {
                    let length = request.header("content-length").map(|v| v.parse().unwrap());
                    let chunked = request.header("transfer-encoding").is_some();
                    let done = |body: &[u8]| match chunked {
                        true => body.ends_with(b"0\r\n\r\n"),
                        false => body.len() >= length.unwrap_or(0),
                    };
                    let mut total = body.len();
                    while !(chunked && done(&body)) && (chunked || total < length.unwrap_or(0)) {
                        let mut piece = vec![0; 64 * 1024];
                        match stream.read(&mut piece).await {
                            Ok(n) if n > 0 => {
                                total += n;
                                if chunked {
                                    body.extend_from_slice(&piece[..n]);
                                }
                            }
                            _ => {
                                seen.lock().unwrap()[at].gone = true;
                                return;
                            }
                        }
                    }
                    seen.lock().unwrap()[at].body_bytes = total;
                    body.clear();
                }
            }
        }
    }
}
