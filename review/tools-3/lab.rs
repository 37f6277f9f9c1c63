//! What the scripts of the third review share: the project's programs as processes on loopback
//! addresses, and stand-ins for the platform's list, the workers, the operator and the clients.
//! Standard library only.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant};

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

/// Exit codes of a script.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const NOT_RUN: i32 = 2;

static RECORD: OnceLock<(Instant, Mutex<File>)> = OnceLock::new();

/// Opens the record of the script. The path comes from the first argument.
pub fn open_record() -> bool {
    let path = std::env::args().nth(1).unwrap_or_default();
    let opened = OpenOptions::new().create(true).write(true).truncate(true).open(&path);
    match opened {
        Ok(file) => RECORD.set((Instant::now(), Mutex::new(file))).is_ok(),
        Err(e) => {
            eprintln!("cannot open the record: {e}");
            false
        }
    }
}

/// Writes a line to the record and to standard output.
pub fn record(text: impl AsRef<str>) {
    let Some((start, file)) = RECORD.get() else { return };
    let line = format!("{:8.3} {}\n", start.elapsed().as_secs_f64(), text.as_ref());
    print!("{line}");
    let _ = file.lock().unwrap().write_all(line.as_bytes());
}

/// Whether the disruption takes place.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |v| v != "0")
}

/// A row of the platform's list.
#[derive(Clone, Debug)]
pub struct Row {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    pub zone: String,
    pub state: &'static str,
}

/// The platform's list of instances, and the bytes of an entry of another writer.
#[derive(Clone, Default)]
pub struct InstanceList(pub Arc<Mutex<Vec<Row>>>, pub Arc<Mutex<Option<String>>>);

impl InstanceList {
    fn page(&self, zone: Option<&str>) -> String {
        let rows = self.0.lock().unwrap();
        let rows: Vec<String> = rows
            .iter()
            .filter(|r| zone.is_none_or(|z| z == r.zone))
            .map(|r| {
                format!(
                    "[\"{}\",\"{}\",\"{}\",\"v1\",3,\"{}\",\"0ms\",\"{}\"]",
                    r.service, r.address, r.zone, r.state, r.id
                )
            })
            .chain(self.1.lock().unwrap().clone())
            .collect();
        format!(
            "{{\"instances\":{{\"columns\":[\"service\",\"address\",\"zone\",\"version\",\"slots\",\"state\",\"coldRemaining\",\"id\"],\"rows\":[{}]}},\"nextPageToken\":null}}",
            rows.join(",")
        )
    }
}

/// A request that a stand-in received.
pub struct Received {
    pub method: String,
    pub target: String,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

/// Reads one HTTP/1.1 message head and body with a length. `None` at the end of the connection.
pub fn read_message(stream: &mut TcpStream, buf: &mut Vec<u8>) -> io::Result<Option<(String, BTreeMap<String, String>, Vec<u8>)>> {
    let mut chunk = [0u8; 16384];
    let end = loop {
        if let Some(at) = buf.windows(4).position(|w| w == b"\r\n\r\n") {
            break at + 4;
        }
        match stream.read(&mut chunk)? {
            0 if buf.is_empty() => return Ok(None),
            0 => return Err(io::ErrorKind::UnexpectedEof.into()),
            n => buf.extend_from_slice(&chunk[..n]),
        }
    };
    let head = String::from_utf8_lossy(&buf[..end]).to_string();
    buf.drain(..end);
    let mut lines = head.split("\r\n");
    let first = lines.next().unwrap_or_default().to_string();
    let headers: BTreeMap<String, String> = lines
        .filter_map(|l| l.split_once(':'))
        .map(|(n, v)| (n.trim().to_ascii_lowercase(), v.trim().to_string()))
        .collect();
    let length: usize = headers.get("content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
    while buf.len() < length {
        match stream.read(&mut chunk)? {
            0 => return Err(io::ErrorKind::UnexpectedEof.into()),
            n => buf.extend_from_slice(&chunk[..n]),
        }
    }
    let body = buf.drain(..length).collect();
    Ok(Some((first, headers, body)))
}

/// Serves requests on an address, a thread for each connection. The handler gets the stream to answer on.
pub fn serve<H>(address: SocketAddr, handler: H) -> io::Result<()>
where
    H: Fn(&mut TcpStream, Received) -> io::Result<()> + Send + Sync + 'static,
{
    let listener = TcpListener::bind(address)?;
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(mut stream) = stream else { continue };
            let handler = Arc::clone(&handler);
            let _ = stream.set_nodelay(true);
            thread::spawn(move || {
                let mut buf = Vec::new();
                while let Ok(Some((first, headers, body))) = read_message(&mut stream, &mut buf) {
                    let mut words = first.split(' ');
                    let method = words.next().unwrap_or_default().to_string();
                    let target = words.next().unwrap_or_default().to_string();
                    let received = Received { method, target, headers, body };
                    if handler(&mut stream, received).is_err() {
                        return;
                    }
                }
            });
        }
    });
    Ok(())
}

pub fn answer(stream: &mut TcpStream, status: &str, headers: &str, body: &[u8]) -> io::Result<()> {
    let mut out = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n", body.len()).into_bytes();
    out.extend_from_slice(body);
    stream.write_all(&out)
}

/// A response that a client got.
#[derive(Clone, Debug)]
pub struct Response {
    pub status: u16,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

impl Response {
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).to_string()
    }
}

/// Sends one request on a new connection and reads its response.
pub fn request(to: SocketAddr, method: &str, target: &str, headers: &str, body: &[u8], timeout: Duration) -> io::Result<Response> {
    let mut stream = TcpStream::connect_timeout(&to, timeout.min(Duration::from_secs(1)))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    let length = match (body.is_empty(), method) {
        (true, "GET") => String::new(),
        _ => format!("Content-Length: {}\r\n", body.len()),
    };
    let host = if headers.to_ascii_lowercase().contains("host:") { String::new() } else { format!("Host: {to}\r\n") };
    let mut out = format!("{method} {target} HTTP/1.1\r\n{host}{headers}{length}\r\n").into_bytes();
    out.extend_from_slice(body);
    stream.write_all(&out)?;
    read_response(&mut stream, &mut Vec::new())
}

/// Reads the next response on a connection.
pub fn read_response(stream: &mut TcpStream, buf: &mut Vec<u8>) -> io::Result<Response> {
    let (first, headers, body) = read_message(stream, buf)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let status = first.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0);
    Ok(Response { status, headers, body })
}

/// A process of the project.
pub struct Process {
    child: Child,
    pub name: String,
}

impl Process {
    pub fn signal(&self, signal: i32) {
        unsafe { kill(self.child.id() as i32, signal) };
    }

    /// Whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    pub fn wait(&mut self, timeout: Duration) -> bool {
        let end = Instant::now() + timeout;
        while Instant::now() < end {
            if self.has_ended() {
                return true;
            }
            thread::sleep(Duration::from_millis(10));
        }
        false
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        self.signal(SIGCONT);
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Programs of the project on loopback addresses, each machine with an address of its own.
pub struct Lab {
    pub dir: PathBuf,
    pub port: u16,
    net: u8,
    pub zones: Vec<(String, String)>,
    pub list: InstanceList,
    list_address: SocketAddr,
    root: PathBuf,
    front_pids: Mutex<BTreeMap<u8, u32>>,
}

impl Drop for Lab {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.dir);
    }
}

// Port offsets on each machine.
const RPC: u16 = 0;
const OPERATOR: u16 = 10;
const DIRECTORY: u16 = 11;
const METRICS: u16 = 12;
const FRONT: u16 = 20;
const READY: u16 = 21;

impl Lab {
    /// `zones` are failure domains with their regions.
    pub fn new(zones: &[(&str, &str)]) -> io::Result<Lab> {
        let pid = std::process::id();
        let net = 20 + (pid % 200) as u8;
        let dir = std::env::temp_dir().join(format!("review-3-{pid}"));
        fs::create_dir_all(&dir)?;
        let port = free_ports(net)?;
        let list = InstanceList::default();
        let list_address = SocketAddr::new(Ipv4Addr::new(127, net, 200, 1).into(), port);
        let served = list.clone();
        serve(list_address, move |stream, received| {
            let zone = received.target.split(['?', '&']).find_map(|p| p.strip_prefix("zone="));
            answer(stream, "200 OK", "Content-Type: application/json\r\n", served.page(zone).as_bytes())
        })?;
        let root = std::env::current_dir()?;
        Ok(Lab {
            dir,
            port,
            net,
            zones: zones.iter().map(|(z, r)| (z.to_string(), r.to_string())).collect(),
            list,
            list_address,
            root,
            front_pids: Mutex::default(),
        })
    }

    /// Address of a core machine.
    pub fn core(&self, n: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.net, 1, n + 1)
    }

    /// Address of a front machine.
    pub fn front(&self, n: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.net, 2, n + 1)
    }

    /// Address for a worker.
    pub fn worker(&self, n: u8) -> SocketAddr {
        SocketAddr::new(Ipv4Addr::new(127, self.net, 3, n + 1).into(), self.port + 30)
    }

    pub fn operator_address(&self, n: u8) -> SocketAddr {
        SocketAddr::new(self.core(n).into(), self.port + OPERATOR)
    }

    pub fn front_address(&self, n: u8) -> SocketAddr {
        SocketAddr::new(self.front(n).into(), self.port + FRONT)
    }

    pub fn ready_address(&self, n: u8) -> SocketAddr {
        SocketAddr::new(self.front(n).into(), self.port + READY)
    }

    pub fn data_dir(&self, n: u8) -> PathBuf {
        self.dir.join(format!("core-{n}"))
    }

    fn zone_table(&self) -> String {
        let zones: Vec<String> = self.zones.iter().map(|(z, r)| format!("\"{z}\":\"{r}\"")).collect();
        format!("{{{}}}", zones.join(","))
    }

    fn seeds(&self, seeds: &[u8]) -> String {
        let seeds: Vec<String> = seeds.iter().map(|s| format!("\"{}\"", self.operator_address(*s))).collect();
        format!("[{}]", seeds.join(","))
    }

    /// Starts a control replica with the settings of deploy/control.jsonc.
    pub fn start_core(&self, n: u8, seeds: &[u8], bootstrap: bool) -> io::Result<Process> {
        let ip = self.core(n);
        let settings = format!(
            "{{\"name\":\"core-{n}\",\"address\":\"{ip}\",\"operator_listen\":\"{ip}:{}\",\"directory_listen\":\"{ip}:{}\",\"metrics_listen\":\"{ip}:{}\",\"seeds\":{},\"internal_ports\":[{},{}],\"first_start\":{bootstrap},\"data_dir\":\"{}\",\"regions\":{},\"endpoints\":{{\"address\":\"{}\",\"max_rate\":47.0}},\"lookup_lifetime\":\"2s\"}}",
            self.port + OPERATOR,
            self.port + DIRECTORY,
            self.port + METRICS,
            self.seeds(seeds),
            self.port + RPC,
            self.port + RPC + 5,
            self.data_dir(n).display(),
            self.zone_table(),
            self.list_address,
        );
        self.start("mangospindle-platform-control", &format!("core-{n}"), &settings)
    }

    /// Starts an entry with the settings of deploy/entry.jsonc.
    pub fn start_front(&self, n: u8, name: &str, zone: &str, seeds: &[u8]) -> io::Result<Process> {
        let ip = self.front(n);
        let settings = format!(
            "{{\"name\":\"{name}\",\"failure_domain\":\"{zone}\",\"regions\":{},\"public_listen\":\"{ip}:{}\",\"ready_listen\":\"{ip}:{}\",\"metrics_listen\":\"{ip}:{}\",\"control\":{},\"internal_ports\":[{},{}],\"retry_ratio\":0.2,\"retry_slack\":58,\"stop_time\":\"6s\"}}",
            self.zone_table(),
            self.port + FRONT,
            self.port + READY,
            self.port + METRICS,
            self.seeds(seeds),
            self.port + RPC,
            self.port + RPC + 5,
        );
        let process = self.start("mangospindle-platform-entry", name, &settings)?;
        self.front_pids.lock().unwrap().insert(n, process.child.id());
        Ok(process)
    }

    fn start(&self, program: &str, name: &str, settings: &str) -> io::Result<Process> {
        let path = self.dir.join(format!("{name}.conf"));
        fs::write(&path, settings)?;
        let log = OpenOptions::new().create(true).append(true).open(self.dir.join(format!("{name}.log")))?;
        let child = Command::new(self.root.join("target/release").join(program))
            .env("MANGOSPINDLE_SETTINGS", &path)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        Ok(Process { child, name: name.to_string() })
    }

    /// Keeps the logs beside the record, for an analysis.
    pub fn keep_logs(&self, to: &Path) {
        let _ = fs::create_dir_all(to);
        for entry in fs::read_dir(&self.dir).into_iter().flatten().flatten() {
            if entry.file_name().to_string_lossy().ends_with(".log") {
                let _ = fs::copy(entry.path(), to.join(entry.file_name()));
            }
        }
    }

    /// Sends an order of the operator to each replica in turn, as the protocol says, until one accepts it.
    pub fn order(&self, replicas: &[u8], target: &str, body: &str, timeout: Duration) -> Option<u8> {
        let end = Instant::now() + timeout;
        while Instant::now() < end {
            for n in replicas {
                let sent = request(self.operator_address(*n), "POST", target, "Content-Type: application/json\r\n", body.as_bytes(), Duration::from_secs(1));
                match sent {
                    Ok(r) if r.status == 200 => return Some(*n),
                    Ok(_) | Err(_) => thread::sleep(Duration::from_millis(100)),
                }
            }
        }
        None
    }

    /// Reads the configuration from a replica: its status and the document.
    pub fn read_config(&self, n: u8) -> (u16, String) {
        match request(self.operator_address(n), "GET", "/v1/Config.Get", "", b"", Duration::from_millis(1500)) {
            Ok(r) => (r.status, r.text()),
            Err(_) => (0, String::new()),
        }
    }
}

impl Lab {
    /// The number of the control replica that an entry has a connection to, if it has one to a single replica.
    pub fn replica_of(&self, front: u8) -> Option<u8> {
        let table = fs::read_to_string("/proc/net/tcp").ok()?;
        let mut found: Vec<u8> = Vec::new();
        for line in table.lines().skip(1) {
            let fields: Vec<&str> = line.split_whitespace().collect();
            let (Some(local), Some(remote), Some(state)) = (fields.get(1), fields.get(2), fields.get(3)) else { continue };
            let (Some(local), Some(remote)) = (parse_hex(local), parse_hex(remote)) else { continue };
            // Connections are established in state 01. An entry connects from any address of the host, so
            // the side of the replica is matched with the process below.
            let _ = local;
            if *state == "01" && remote.1 == self.port + RPC && remote.0.octets()[..3] == self.core(0).octets()[..3] {
                let inode = fields.get(9).copied().unwrap_or_default();
                if self.owns(front, inode) {
                    found.push(remote.0.octets()[3] - 1);
                }
            }
        }
        found.dedup();
        match found[..] {
            [n] => Some(n),
            _ => None,
        }
    }

    /// Whether a process that this lab started as an entry has the socket with this number open.
    fn owns(&self, front: u8, inode: &str) -> bool {
        let pids = self.front_pids.lock().unwrap();
        let Some(pid) = pids.get(&front) else { return false };
        let Ok(entries) = fs::read_dir(format!("/proc/{pid}/fd")) else { return false };
        entries.flatten().any(|e| fs::read_link(e.path()).is_ok_and(|l| l.to_string_lossy() == format!("socket:[{inode}]")))
    }

    /// The numbers of the voters that a replica knows, by the last change of members in its log.
    pub fn voters(&self, replica: u8) -> Option<Vec<u8>> {
        let log = fs::read_to_string(self.dir.join(format!("core-{replica}.log"))).ok()?;
        let line = log.lines().rfind(|l| l.contains("\"members_changed\""))?;
        let voters = line.split("\"voters\":\"").nth(1)?.split('"').next()?;
        let number = |text: &str| Some(Ipv4Addr::from(text.parse::<u32>().ok()?).octets()[3] - 1);
        voters.split(' ').map(number).collect()
    }

    /// The number of the control replica that leads, by the last change of role in the logs.
    pub fn leader(&self, replicas: &[u8]) -> Option<u8> {
        let role = |n: &u8| {
            let log = fs::read_to_string(self.dir.join(format!("core-{n}.log"))).unwrap_or_default();
            let last = log.lines().rfind(|l| l.contains("\"role_changed\"")).unwrap_or_default().to_string();
            last.contains("\"role\":\"Leader\"")
        };
        let leaders: Vec<u8> = replicas.iter().copied().filter(|n| role(n)).collect();
        match leaders[..] {
            [n] => Some(n),
            _ => None,
        }
    }
}

fn parse_hex(text: &str) -> Option<(Ipv4Addr, u16)> {
    let (ip, port) = text.split_once(':')?;
    let ip = u32::from_str_radix(ip, 16).ok()?.swap_bytes();
    Some((Ipv4Addr::from(ip), u16::from_str_radix(port, 16).ok()?))
}

/// A request that a worker ran.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: Instant,
    pub id: String,
    pub worker: String,
    pub service: String,
}

/// The requests that all workers ran.
#[derive(Clone, Default)]
pub struct Runs(pub Arc<Mutex<Vec<Run>>>);

/// Starts a sound worker and adds it to the platform's list.
pub fn start_worker(lab: &Lab, n: u8, id: &str, service: &str, zone: &str, work: Duration, runs: &Runs) -> io::Result<()> {
    let address = lab.worker(n);
    let row = Row { id: id.to_string(), service: service.to_string(), address, zone: zone.to_string(), state: "ready" };
    let (own, runs) = (row.clone(), runs.clone());
    serve(address, move |stream, received| {
        let id = received.headers.get("x-request-id").cloned().unwrap_or_default();
        let echo = if id.is_empty() { String::new() } else { format!("X-Request-Id: {id}\r\n") };
        if received.headers.get("x-expect-instance").is_some_and(|i| *i != own.id) {
            return answer(stream, "421 Misdirected Request", &format!("{echo}X-Not-Executed: 1\r\n"), b"");
        }
        if received.target == "/health" {
            return answer(stream, "200 OK", &format!("X-Instance-Id: {}\r\nX-Server-Load: 0,0,3\r\n", own.id), b"");
        }
        let run = Run { at: Instant::now(), id: id.clone(), worker: own.id.clone(), service: own.service.clone() };
        runs.0.lock().unwrap().push(run);
        thread::sleep(work);
        let stamp = format!("{echo}X-Server-Stamp: {}.{id}\r\nX-Server-Load: 1,0,3\r\n", own.id);
        answer(stream, "200 OK", &stamp, own.service.as_bytes())
    })?;
    lab.list.0.lock().unwrap().push(row);
    Ok(())
}

/// A base of ports that are free on the addresses of the lab.
fn free_ports(net: u8) -> io::Result<u16> {
    for attempt in 0..50u16 {
        let base = 20000 + ((std::process::id() as u16).wrapping_mul(41).wrapping_add(attempt * 97)) % 10000;
        let free = (0..40).all(|o| TcpListener::bind((Ipv4Addr::new(127, net, 1, 1), base + o)).is_ok());
        if free {
            return Ok(base);
        }
    }
    Err(io::ErrorKind::AddrInUse.into())
}

/// A configuration document.
pub fn config(version: u32, services: &[&str], paths: &str) -> String {
    let services: Vec<String> = services
        .iter()
        .map(|s| format!("{{\"name\":\"{s}\",\"healthPath\":\"/health\",\"maxConnections\":330,\"protocol\":\"h1\",\"tls\":false,\"coldStart\":\"3s\",\"coldPerS\":5.7}}"))
        .collect();
    format!(
        "{{\"version\":\"{version:08x}\",\"services\":[{}],\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,\"headerTimeout\":\"3000ms\",\"idleTimeout\":\"15000ms\"}},\"virtualHosts\":[{{\"host\":\"shop.example\",\"paths\":[{paths}]}}]}}",
        services.join(",")
    )
}

/// A path of a configuration document.
pub fn path(name: &str, prefix: &str, kind: &str, service: &str) -> String {
    format!("{{\"name\":\"{name}\",\"pathPrefix\":\"{prefix}\",\"kind\":\"{kind}\",\"timeout\":\"2000ms\",\"targetLatency\":\"400ms\",\"priority\":1,\"service\":\"{service}\",\"attempts\":2,\"sticky\":false,\"homeRegions\":[]}}")
}

/// Waits until a condition holds.
pub fn wait_until(timeout: Duration, condition: impl Fn() -> bool) -> bool {
    let end = Instant::now() + timeout;
    while Instant::now() < end {
        if condition() {
            return true;
        }
        thread::sleep(Duration::from_millis(50));
    }
    false
}
