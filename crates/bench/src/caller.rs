use crate::TrafficKind;
use crate::direct::Direct;
use crate::lookup_cache::{LookupAnswer, LookupCache};
use crate::recorder::Ending;
use awc::error::{ConnectError, SendRequestError};
use awc::{Client, ClientResponse, http::Method};
use bytes::Bytes;
use futures::{Stream, StreamExt, stream};
use mangospindle_http::checked_connector;
use mangospindle_model::{Clock, RegionId};
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// Longest time for a connection to an entry.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Longest time for a lookup.
const LOOKUP_TIMEOUT: Duration = Duration::from_secs(1);

/// Chunk size of upload bodies, in bytes.
const UPLOAD_CHUNK_BYTES: u32 = 32 * 1024;

/// A caller with an address of its own.
pub(crate) struct Caller {
    client: Client,
    home: RegionId,
    home_region: String,
    first_entries: Vec<SocketAddr>,
    /// One-way latencies.
    delays: Rc<HashMap<SocketAddr, Duration>>,
    direct: Option<Rc<Direct>>,
    /// Entries or endpoints that are tried for one request.
    max_tried: usize,
    clock: Arc<dyn Clock>,
    lookups: RefCell<HashMap<String, LookupCache>>,
}

/// What one attempt came to.
enum Attempt {
    Done(Ending),
    /// The request did not reach an entry, or the entry refused it as not run.
    TryNext(Ending),
}

impl Caller {
    pub(crate) fn new(
        address: IpAddr,
        (home, home_region): (RegionId, String),
        first_entries: Vec<SocketAddr>,
        delays: Rc<HashMap<SocketAddr, Duration>>,
        direct: Option<Rc<Direct>>,
        max_tried: usize,
        clock: Arc<dyn Clock>,
    ) -> Rc<Self> {
        let connector = checked_connector()
            .local_address(address)
            .timeout(CONNECT_TIMEOUT)
            .limit(0);
        let client = Client::builder()
            .connector(connector)
            .disable_timeout()
            .disable_redirects()
            .finish();
        Rc::new(Caller {
            client,
            home,
            home_region,
            first_entries,
            delays,
            direct,
            max_tried,
            clock,
            lookups: RefCell::default(),
        })
    }

    pub(crate) fn home_region(&self) -> &str {
        &self.home_region
    }

    /// Sends one request, trying further entries of the lookup while that is safe.
    pub(crate) async fn send(
        &self,
        service: &str,
        kind: TrafficKind,
        token: &str,
        deadline: Duration,
    ) -> Ending {
        let start = self.clock.now();
        let mut last = failure("lookup_failed", true);
        let targets = match &self.direct {
            Some(direct) => direct.targets(service, self.home),
            None => self.lookup(service).await,
        };
        for entry in targets.iter().take(self.max_tried) {
            let left = deadline.saturating_sub(self.clock.now() - start);
            if left.is_zero() {
                break;
            }
            let attempt = self.delayed_attempt(*entry, service, kind, token, left);
            match actix_rt::time::timeout(left, attempt).await {
                Ok(Attempt::Done(ending)) => return ending,
                Ok(Attempt::TryNext(ending)) => last = ending,
                Err(_) => return failure("caller_timeout", false),
            }
        }
        last
    }

    async fn lookup(&self, service: &str) -> Vec<SocketAddr> {
        let now = self.clock.now();
        if let Some(cache) = self.lookups.borrow().get(service)
            && cache.is_fresh(now)
        {
            return cache.entries.clone();
        }
        let known = self.lookups.borrow().get(service).cloned();
        let known = known.map_or(Vec::new(), |cache| cache.entries);
        for entry in known.iter().chain(&self.first_entries) {
            let url = format!("http://{entry}/v1/lookup?service={service}");
            let answer = actix_rt::time::timeout(LOOKUP_TIMEOUT, async {
                self.delay(*entry).await;
                let mut answer = self.client.get(url).send().await.ok()?;
                let answer = answer.json::<LookupAnswer>().await.ok();
                self.delay(*entry).await;
                answer
            });
            if let Ok(Some(answer)) = answer.await {
                let mut lookups = self.lookups.borrow_mut();
                let cache = lookups.entry(service.to_string()).or_default();
                cache.store(now, answer);
                return cache.entries.clone();
            }
        }
        known
    }

    /// Waits the one-way latency between the caller and a process.
    async fn delay(&self, to: SocketAddr) {
        if let Some(delay) = self.delays.get(&to).filter(|d| !d.is_zero()) {
            actix_rt::time::sleep(*delay).await;
        }
    }

    async fn delayed_attempt(
        &self,
        to: SocketAddr,
        service: &str,
        kind: TrafficKind,
        token: &str,
        left: Duration,
    ) -> Attempt {
        self.delay(to).await;
        let attempt = self.attempt(to, service, kind, token, left).await;
        self.delay(to).await;
        match (attempt, &self.direct) {
            (Attempt::Done(Ending::Success { .. }), Some(direct)) => {
                Attempt::Done(Ending::Success {
                    served_region: direct.region_name(to),
                })
            }
            (attempt, _) => attempt,
        }
    }

    async fn attempt(
        &self,
        entry: SocketAddr,
        service: &str,
        kind: TrafficKind,
        token: &str,
        left: Duration,
    ) -> Attempt {
        let (method, path) = match kind {
            TrafficKind::Read { answer_bytes } => {
                (Method::GET, format!("item?size={answer_bytes}"))
            }
            TrafficKind::Upload { .. } => (Method::PUT, format!("file/{token}")),
            TrafficKind::AtMostOnce => (Method::POST, "action".to_string()),
        };
        let url = match self.direct {
            Some(_) => format!("http://{entry}/{path}"),
            None => format!("http://{entry}/s/{service}/{path}"),
        };
        let mut req = self
            .client
            .request(method, url)
            .insert_header(("x-caller-token", token))
            .insert_header(("x-deadline-ms", left.as_millis().to_string()));
        if self.direct.is_some() {
            // Entries set it for the endpoints; the stand-ins count by it.
            req = req.insert_header(("x-home-region", self.home_region.as_str()));
        }
        let sent = match kind {
            TrafficKind::Read { .. } => req.send().await,
            TrafficKind::Upload { body_bytes } => {
                req.send_body(awc::body::SizedStream::new(
                    u64::from(body_bytes),
                    upload_body(body_bytes),
                ))
                .await
            }
            TrafficKind::AtMostOnce => {
                req.insert_header(("idempotency-key", token))
                    .send_body(format!("action {token}"))
                    .await
            }
        };
        match sent {
            Ok(answer) => read_answer(answer, kind, token).await,
            // `Disconnected` also stands for a connection that ended before the answer, when the
            // request may have run.
            Err(SendRequestError::Connect(e)) if !matches!(e, ConnectError::Disconnected) => {
                Attempt::TryNext(failure("connect", true))
            }
            Err(_) if matches!(kind, TrafficKind::Read { .. }) => {
                Attempt::TryNext(failure("transport", false))
            }
            Err(_) => Attempt::Done(failure("transport", false)),
        }
    }
}

async fn read_answer<S>(mut answer: ClientResponse<S>, kind: TrafficKind, token: &str) -> Attempt
where
    S: Stream<Item = Result<Bytes, awc::error::PayloadError>> + Unpin,
{
    let header = |name: &str| {
        let value = answer.headers().get(name).and_then(|v| v.to_str().ok());
        value.unwrap_or_default().to_string()
    };
    let (status, run, served_region) = (
        answer.status(),
        header("x-request-run"),
        header("x-served-region"),
    );
    let mut body = Vec::new();
    while let Some(chunk) = answer.next().await {
        match chunk {
            Ok(chunk) => body.extend_from_slice(&chunk),
            Err(_) => return Attempt::Done(failure("incomplete", false)),
        }
    }
    if !status.is_success() {
        let problem: serde_json::Value = serde_json::from_slice(&body).unwrap_or_default();
        let name = problem["type"].as_str().unwrap_or("http_error");
        let name = name.rsplit(['/', ':']).next().unwrap_or(name);
        return match run == "no" {
            true => Attempt::TryNext(failure(name, true)),
            false => Attempt::Done(failure(name, false)),
        };
    }
    match kind {
        TrafficKind::Read { answer_bytes } if body.len() != answer_bytes as usize => {
            Attempt::Done(failure("incomplete", false))
        }
        TrafficKind::Read { .. } if !repeats(&body, &format!("{token}/")) => {
            Attempt::Done(failure("wrong_answer", false))
        }
        TrafficKind::Upload { body_bytes } if !received(&body, body_bytes) => {
            Attempt::Done(failure("incomplete", false))
        }
        _ => Attempt::Done(Ending::Success { served_region }),
    }
}

fn failure(name: &str, not_run: bool) -> Ending {
    Ending::Failure {
        name: name.to_string(),
        not_run,
    }
}

fn upload_body(bytes: u32) -> impl Stream<Item = Result<Bytes, std::io::Error>> {
    let chunk = Bytes::from(vec![b'u'; UPLOAD_CHUNK_BYTES as usize]);
    let full = (0..bytes / UPLOAD_CHUNK_BYTES).map(|_| UPLOAD_CHUNK_BYTES);
    let rest = Some(bytes % UPLOAD_CHUNK_BYTES).filter(|r| *r > 0);
    stream::iter(full.chain(rest)).map(move |n| Ok(chunk.slice(..n as usize)))
}

fn repeats(body: &[u8], pattern: &str) -> bool {
    let pattern = pattern.as_bytes();
    (body.iter().enumerate()).all(|(i, b)| *b == pattern[i % pattern.len()])
}

fn received(body: &[u8], bytes: u32) -> bool {
    let answer: serde_json::Value = serde_json::from_slice(body).unwrap_or_default();
    answer["received_bytes"].as_u64() == Some(u64::from(bytes))
}
