//! Overhead of an entry: `cargo bench -p mangospindle-entry`.
//!
//! The latency is that of one caller with one request at a time: directly to an endpoint, through
//! its owner, and through another entry. The throughput is that of many callers of one entry, which
//! handles all requests on one thread.

#![allow(
    clippy::unwrap_used,
    reason = "a failed measurement should abort the benchmark"
)]

use futures::FutureExt;
use futures::future::BoxFuture;
use hdrhistogram::Histogram;
use mangospindle_entry::{ControlPlane, EntryServer};
use mangospindle_model::*;
use mangospindle_rpc::{ProposeResult, QueryResult};
use mangospindle_settings::EntrySettings;
use mangospindle_state::{ClaimKey, CommandKind, Config, EntryStatus, RequestId};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const WARM_UP_REQUESTS: usize = 500;
const SAMPLE_COUNT: usize = 10_000;
const LOAD_DURATION: Duration = Duration::from_secs(3);
const LOAD_THREADS: usize = 3;
const CALLERS_PER_THREAD: usize = 16;

const RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 40\r\n\r\n\
    {\"state\":\"ok\",\"in_progress\":0,\"load\":0.1}";

struct UnavailableControl;

impl ControlPlane for UnavailableControl {
    fn propose(
        &self,
        _: CommandKind,
        _: RequestId,
        _: Duration,
    ) -> BoxFuture<'static, ProposeResult> {
        async { ProposeResult::NotAccepted }.boxed()
    }

    fn query_claim(&self, _: ClaimKey, _: Duration) -> BoxFuture<'static, QueryResult> {
        async { QueryResult::Unconfirmed }.boxed()
    }
}

fn main() {
    actix_web::rt::System::new().block_on(run_benchmarks());
}

async fn run_benchmarks() {
    let endpoint = start_endpoint();
    let start = |name: &str| {
        let text = format!(
            r#"{{"name":"{name}","failure_domain":"d","public_listen":"127.0.0.1:0",
            "internal_listen":"127.0.0.2:0","control":["127.0.0.1:1"]}}"#
        );
        let settings = EntrySettings::parse(name, &text).unwrap();
        EntryServer::start(
            settings,
            Arc::new(MonotonicClock::new()),
            Arc::new(UnavailableControl),
        )
        .unwrap()
    };
    let (ingress_entry, owner_entry) = (start("near"), start("far"));
    install_configs(endpoint, &ingress_entry, &owner_entry);
    let addresses = [
        ("straight to the endpoint", endpoint),
        ("through its owner", owner_entry.public_address()),
        ("through another entry", ingress_entry.public_address()),
    ];
    println!("latency of {SAMPLE_COUNT} reads, one at a time");
    for (name, address) in addresses {
        let histogram = actix_web::rt::spawn(measure_latency(address))
            .await
            .unwrap();
        let us = |q: f64| histogram.value_at_quantile(q) as f64 / 1000.0;
        println!("{name:26} p50 {:7.1} us  p99 {:7.1} us", us(0.5), us(0.99));
    }
    let callers = LOAD_THREADS * CALLERS_PER_THREAD;
    println!("requests per second, {callers} callers, one worker thread");
    let workloads = [
        ("straight to the endpoint", endpoint, "/s/files/x"),
        (
            "reads through the owner",
            owner_entry.public_address(),
            "/s/files/x",
        ),
        (
            "reads through another",
            ingress_entry.public_address(),
            "/s/files/x",
        ),
        (
            "lookups",
            ingress_entry.public_address(),
            "/v1/lookup?service=files&client=10.0.7.9",
        ),
    ];
    for (name, address, path) in workloads {
        let cpu_ms_before = worker_cpu_ms();
        let (ok, all) = measure_throughput(address, path).await;
        let cpu_ms = worker_cpu_ms().saturating_sub(cpu_ms_before);
        let rate = ok as f64 / LOAD_DURATION.as_secs_f64();
        let cores = cpu_ms as f64 / LOAD_DURATION.as_millis() as f64;
        println!(
            "{name:26} {rate:9.0}/s answered, {:.2}% refused, {cores:.2} cores in entry threads, \
             {:.0}/s per core",
            100.0 * (all - ok) as f64 / all as f64,
            rate / cores.max(0.01),
        );
    }
    std::process::exit(0);
}

/// Returns the CPU time of the entries' worker threads, in milliseconds.
fn worker_cpu_ms() -> u64 {
    let mut ticks = 0;
    for task in std::fs::read_dir("/proc/self/task").unwrap().flatten() {
        let stat = std::fs::read_to_string(task.path().join("stat")).unwrap_or_default();
        let Some((name, rest)) = stat.rsplit_once(')') else {
            continue;
        };
        if name.contains("(actix") {
            // Some of the fields can be negative.
            let fields: Vec<i64> = rest.split(' ').filter_map(|f| f.parse().ok()).collect();
            // User and system time, in hundredths of a second. The process state is a letter and
            // therefore not in `fields`.
            ticks += fields[10] + fields[11];
        }
    }
    ticks as u64 * 10
}

fn start_endpoint() -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.3:0").unwrap();
    listener.set_nonblocking(true).unwrap();
    let address = listener.local_addr().unwrap();
    spawn_thread("endpoint", async move {
        let listener = TcpListener::from_std(listener).unwrap();
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            stream.set_nodelay(true).unwrap();
            tokio::task::spawn_local(async move {
                let mut buf = vec![0; 4096];
                let mut len = 0;
                while let Ok(n) = stream.read(&mut buf[len..]).await
                    && n > 0
                {
                    len += n;
                    if buf[..len].ends_with(b"\r\n\r\n") {
                        len = 0;
                        if stream.write_all(RESPONSE).await.is_err() {
                            return;
                        }
                    }
                }
            });
        }
    });
    address
}

fn spawn_thread<F>(name: &str, future: F) -> std::thread::JoinHandle<F::Output>
where
    F: Future + Send + 'static,
    F::Output: Send,
{
    let run = move || {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .unwrap();
        tokio::task::LocalSet::new().block_on(&runtime, future)
    };
    std::thread::Builder::new()
        .name(name.to_string())
        .spawn(run)
        .unwrap()
}

/// Sends one request on an open connection. Returns whether the status of the response is 200.
async fn send_request(stream: &mut TcpStream, request: &[u8], buf: &mut Vec<u8>) -> bool {
    stream.write_all(request).await.unwrap();
    buf.clear();
    loop {
        let n = stream.read_buf(buf).await.unwrap();
        assert!(n > 0, "the connection was closed");
        if let Some(end) = buf.windows(4).position(|w| w == b"\r\n\r\n") {
            let head = std::str::from_utf8(&buf[..end]).unwrap();
            let length = head.split("content-length: ").nth(1).unwrap();
            let length: usize = length.split("\r\n").next().unwrap().parse().unwrap();
            while buf.len() < end + 4 + length {
                stream.read_buf(buf).await.unwrap();
            }
            return buf.starts_with(b"HTTP/1.1 200");
        }
    }
}

fn request(path: &str) -> Vec<u8> {
    format!("GET {path} HTTP/1.1\r\nhost: bench\r\nx-caller-token: t\r\n\r\n").into_bytes()
}

async fn measure_latency(address: SocketAddr) -> Histogram<u64> {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.set_nodelay(true).unwrap();
    let request = request("/s/files/x");
    let (mut buf, mut histogram) = (Vec::new(), Histogram::<u64>::new(3).unwrap());
    for i in 0..WARM_UP_REQUESTS + SAMPLE_COUNT {
        let start = Instant::now();
        assert!(send_request(&mut stream, &request, &mut buf).await);
        if i >= WARM_UP_REQUESTS {
            histogram.record(start.elapsed().as_nanos() as u64).unwrap();
        }
    }
    histogram
}

/// Returns the number of requests with status 200, and of all requests.
async fn measure_throughput(address: SocketAddr, path: &'static str) -> (u64, u64) {
    let threads: Vec<_> = (0..LOAD_THREADS)
        .map(|_| {
            spawn_thread("caller", async move {
                let end = Instant::now() + LOAD_DURATION;
                let callers = (0..CALLERS_PER_THREAD).map(|_| async move {
                    let mut stream = TcpStream::connect(address).await.unwrap();
                    stream.set_nodelay(true).unwrap();
                    let (mut buf, mut ok, mut all) = (Vec::new(), 0, 0);
                    while Instant::now() < end {
                        ok += u64::from(send_request(&mut stream, &request(path), &mut buf).await);
                        all += 1;
                    }
                    (ok, all)
                });
                let done = futures::future::join_all(callers).await;
                done.into_iter().fold((0, 0), |a, b| (a.0 + b.0, a.1 + b.1))
            })
        })
        .collect();
    let joined = tokio::task::spawn_blocking(move || {
        threads
            .into_iter()
            .map(|t| t.join().unwrap())
            .collect::<Vec<_>>()
    });
    joined
        .await
        .unwrap()
        .into_iter()
        .fold((0, 0), |a, b| (a.0 + b.0, a.1 + b.1))
}

fn install_configs(endpoint: SocketAddr, ingress_entry: &EntryServer, owner_entry: &EntryServer) {
    let entry = |name: &str, server: &EntryServer| Entry {
        name: name.to_string(),
        failure_domain: FailureDomainId(0),
        public_address: server.public_address(),
        internal_address: server.internal_address(),
    };
    let topology = Topology {
        regions: vec![Region {
            name: "r".to_string(),
            max_in_progress: 1000,
        }],
        failure_domains: vec![FailureDomain {
            name: "d".to_string(),
            region: RegionId(0),
        }],
        entries: vec![entry("near", ingress_entry), entry("far", owner_entry)],
        services: vec![Service {
            name: "files".to_string(),
            write_class: RequestClass::Upload,
            max_deadline: Duration::from_secs(5),
            profile: "p".to_string(),
        }],
        endpoints: vec![Endpoint {
            name: "endpoint".to_string(),
            service: ServiceId(0),
            failure_domain: FailureDomainId(0),
            address: endpoint,
            slots: 200,
            max_connections: 300,
        }],
        links: Vec::new(),
        client_ranges: vec![ClientRange {
            net: "10.0.0.0/8".parse().unwrap(),
            block_prefix: 24,
            region: RegionId(0),
        }],
    };
    let profile = Profile {
        name: "p".to_string(),
        weights: Weights {
            latency: 1.0,
            headroom: 0.2,
            drain: 0.2,
        },
        cross_region_limit: 100,
        pace_start: 0.1,
        pace_growth: 1.5,
        retry_budget: 0.2,
        hedging: Hedging::Off,
        queue_timeout: Duration::from_millis(200),
        shed_order: RequestClass::ALL.to_vec(),
    };
    let mut config = Config::bootstrap(topology, vec![profile]);
    config.entry_status = vec![
        EntryStatus::Leaving { incarnation: 1 },
        EntryStatus::Active { incarnation: 1 },
    ];
    let first = Arc::new(config.clone());
    config.version = 2;
    for ownership in &mut config.ownership {
        (ownership.owner, ownership.epoch) = (Some(EntryId(1)), 2);
    }
    let second = Arc::new(config);
    for server in [ingress_entry, owner_entry] {
        server.install(&first, Duration::ZERO);
        server.install(&second, Duration::ZERO);
    }
}
