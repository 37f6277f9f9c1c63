"""A small deployment of the project's own programs on loopback addresses, with stand-ins around it.

The programs are started as `deploy/system.toml` says, with the templates of that file filled in. The
platform's list, the workers, the clients and the operator are stand-ins that follow PROTOCOL.md. The
layout and the bounds are those of the site cristallo-nord.
"""

import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import traceback

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
ZONES = {
    "sondrio": "valtellina",
    "rovereto": "trentino",
    "aosta": "valdaosta",
    "bormio": "valtellina",
    "cavalese": "trentino",
    "cogne": "valdaosta",
}
FRONTS = ["sondrio", "sondrio", "rovereto", "rovereto", "aosta", "aosta", "bormio", "cavalese", "cogne"]
FRONT_PORT, READY_PORT, CONTROL_PORT, DIRECTORY_PORT, CLOUD_PORT = 8641, 8640, 8649, 8651, 8642
WORKER_PORT = 8080
INTERNAL_PORT = 7620
BOUNDS = {
    "contact": 3.0, "drain": 3.0, "evacuate": 5.0, "maxStretch": 5.0, "configApply": 2.5,
    "grace": 6.0, "ackTimeout": 4.0, "lag": 0.8,
}
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Writes what happened to `record.txt`, with the seconds since the start of the script."""

    def __init__(self, folder):
        self.start = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.start

    def __call__(self, text):
        self.file.write(f"{self.now():9.3f} s  {text}\n")
        self.file.flush()


def fill_in(path, values):
    """Fills in the placeholders `{{a.b}}` and `{{a.b|json}}` of a template."""

    def value_of(match):
        value = values
        for name in match.group(1).split("."):
            value = value[name]
        return json.dumps(value) if match.group(2) else str(value)

    with open(path, encoding="utf-8") as template:
        return re.sub(r"\{\{([A-Za-z_.]+)(\|json)?\}\}", value_of, template.read())


class Deployment:
    """Processes of the project, each on an address of its own in 127.0.0.0/8."""

    def __init__(self, record, fronts=None, cores=None, proxied=False):
        self.record = record
        # Whether proxies stand on the addresses at which the replicas reach each other.
        self.proxied = proxied
        self.fronts = FRONTS if fronts is None else fronts
        self.cores = list(ZONES) if cores is None else cores
        self.net = self.free_net()
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.processes = {}
        self.commands = {}
        self.cloud_address = f"{self.net}.4.1"

    @staticmethod
    def free_net():
        for _ in range(50):
            net = f"127.{random.randint(10, 250)}"
            try:
                for host, port in [("1.1", FRONT_PORT), ("2.1", CONTROL_PORT), ("4.1", CLOUD_PORT)]:
                    with socket.socket() as probe:
                        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                        probe.bind((f"{net}.{host}", port))
                return net
            except OSError:
                continue
        cannot_run("no free loopback addresses")

    def front_ip(self, index):
        return f"{self.net}.1.{index + 1}"

    def core_ip(self, index):
        return f"{self.net}.2.{index + 1}"

    def core_rpc_ip(self, index):
        return f"{self.net}.{5 if self.proxied else 2}.{index + 1}"

    def settings(self, name, role, ip, zone):
        listen = {
            "front": f"{ip}:{FRONT_PORT}", "ready": f"{ip}:{READY_PORT}",
            "control": f"{ip}:{CONTROL_PORT}", "directory": f"{ip}:{DIRECTORY_PORT}",
        }
        values = {
            "nodeName": name, "ip": ip, "zone": zone, "region": ZONES[zone], "zones": ZONES,
            "listen": listen, "internalPorts": [INTERNAL_PORT, INTERNAL_PORT + 15],
            "seeds": [f"{self.core_ip(i)}:{CONTROL_PORT}" for i in range(min(3, len(self.cores)))],
            "bootstrap": True, "dataDir": os.path.join(self.folder, name),
            "bounds": {"retryBudgetRatio": 0.2, "budgetSlack": 58, "grace": "6s"},
            "cloud": {"address": f"{self.cloud_address}:{CLOUD_PORT}", "ratePerS": 47.0},
        }
        path = os.path.join(self.folder, f"{name}.jsonc")
        text = fill_in(os.path.join(ROOT, "deploy", f"{role}.jsonc"), values)
        if role == "control" and self.proxied:
            listen = f"{self.core_rpc_ip(self.cores.index(zone))}:{INTERNAL_PORT}"
            text = text.rstrip().removesuffix("}") + f'  "rpc_listen": "{listen}",\n}}\n'
        with open(path, "w", encoding="utf-8") as out:
            out.write(text)
        return path

    def start(self):
        for index, zone in enumerate(self.cores):
            self.add(f"core-{zone}", "control", self.core_ip(index), zone)
        for index, zone in enumerate(self.fronts):
            self.add(f"front-{index + 1}-{zone}", "entry", self.front_ip(index), zone)

    def add(self, name, role, ip, zone):
        program = os.path.join(ROOT, "target", "release", f"mangospindle-platform-{role}")
        if not os.path.exists(program):
            cannot_run("the programs are not built")
        self.commands[name] = (program, self.settings(name, role, ip, zone))
        self.launch(name)

    def launch(self, name):
        program, settings = self.commands[name]
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env["MANGOSPINDLE_SETTINGS"] = settings
        log = open(os.path.join(self.folder, f"{name}.log"), "ab")
        self.processes[name] = subprocess.Popen(
            [program], cwd=ROOT, env=env, stdout=log, stderr=log, stdin=subprocess.DEVNULL)

    def log_of(self, name):
        with open(os.path.join(self.folder, f"{name}.log"), encoding="utf-8", errors="replace") as log:
            return log.read()

    def send(self, name, number):
        self.record(f"{signal.Signals(number).name} to {name}")
        self.processes[name].send_signal(number)

    def stop(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        if os.environ.get("KEEP"):
            print(self.folder, file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def cannot_run(why):
    print(f"the case could not run: {why}")
    sys.exit(2)


async def read_head(reader):
    """Reads the head of a message. Returns its first line and its headers in lower case."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


class Answer:
    def __init__(self, status, headers, body):
        self.status, self.headers, self.body = status, headers, body


async def read_answer(reader):
    while True:
        line, headers = await read_head(reader)
        status = int(line.split()[1])
        if status >= 200:
            break
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).strip() or b"0", 16)
            piece = await reader.readexactly(size + 2)
            if size == 0:
                break
            body += piece[:-2]
    else:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Answer(status, headers, body)


async def call(ip, port, method, path, body=b"", headers=None, timeout=1.0):
    """One request on a new connection. Raises an error if no whole answer comes in time."""

    async def exchange():
        reader, writer = await asyncio.open_connection(ip, port)
        try:
            head = [f"{method} {path} HTTP/1.1", f"Host: {ip}:{port}"]
            head += [f"{k}: {v}" for k, v in (headers or {}).items()]
            if body or method in ("POST", "PUT"):
                head.append(f"Content-Length: {len(body)}")
            writer.write(("\r\n".join(head) + "\r\n\r\n").encode() + body)
            await writer.drain()
            return await read_answer(reader)
        finally:
            writer.close()

    return await asyncio.wait_for(exchange(), timeout)


class Operator:
    """Sends an order to one node after the other until it is acknowledged, as PROTOCOL.md says."""

    def __init__(self, deployment, record):
        self.deployment, self.record = deployment, record

    async def order(self, path, body=b"", nodes=None, limit=30.0):
        nodes = nodes or list(range(len(self.deployment.cores)))
        started, backoff, tries = time.monotonic(), 0.05, 0
        while time.monotonic() - started < limit:
            node = nodes[tries % len(nodes)]
            tries += 1
            name = f"core-{self.deployment.cores[node]}"
            self.record(f"operator sends {path} to {name}")
            try:
                answer = await call(self.deployment.core_ip(node), CONTROL_PORT, "POST", path, body)
                self.record(f"operator gets {answer.status} from {name}")
                if answer.status < 300:
                    return time.monotonic()
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
                self.record(f"operator gets no answer from {name}: {type(error).__name__}")
            await asyncio.sleep(backoff)
            backoff = min(backoff * 2, 0.5)
        return None


class Cloud:
    """The platform's list of workers."""

    COLUMNS = ["service", "address", "zone", "version", "slots", "state", "coldRemaining", "id"]

    def __init__(self, deployment):
        self.deployment = deployment
        self.rows = []
        # Bytes of further rows, as another writer left them, by zone.
        self.raw_rows = {}
        self.calls = 0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.deployment.cloud_address, CLOUD_PORT)

    async def serve(self, reader, writer):
        try:
            while True:
                line, _ = await read_head(reader)
                self.calls += 1
                match = re.search(r"[?&]zone=([^& ]*)", line)
                zone = match.group(1) if match else None
                rows = [json.dumps(r).encode() for r in self.rows if zone in (None, r[2])]
                rows += [raw for z, raws in self.raw_rows.items() if zone in (None, z) for raw in raws]
                body = (b'{"instances":{"columns":' + json.dumps(self.COLUMNS).encode()
                        + b',"rows":[' + b",".join(rows) + b']},"nextPageToken":null}')
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
                             + str(len(body)).encode() + b"\r\n\r\n" + body)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


class Worker:
    """A sound worker: `slots` requests at a time, the others wait; one request at a time a connection."""

    def __init__(self, deployment, record, index, service, zone, slots=3, work_s=0.1):
        self.record, self.service, self.zone = record, service, zone
        self.ip = f"{deployment.net}.3.{index + 1}"
        self.id = f"i-{service}-{index + 1}"
        self.slots, self.work_s = slots, work_s
        self.free = asyncio.Semaphore(slots)
        self.running = self.waiting = 0
        self.runs = []
        self.arrivals = []

    def row(self, state="ready"):
        return [self.service, f"{self.ip}:{WORKER_PORT}", self.zone, "v1", self.slots, state, "0ms", self.id]

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, WORKER_PORT)

    def load(self):
        return f"{self.running},{self.waiting},{self.slots}"

    def body_of(self, request_id):
        return f"whole body of {request_id} by {self.id}\n".encode()

    async def work(self, path, request_id):
        await asyncio.sleep(self.work_s)

    async def in_slot(self, job):
        self.waiting += 1
        async with self.free:
            self.waiting -= 1
            self.running += 1
            try:
                return await job()
            finally:
                self.running -= 1

    async def serve(self, reader, writer):
        try:
            while True:
                line, headers = await read_head(reader)
                length = int(headers.get("content-length", "0"))
                if length:
                    await reader.readexactly(length)
                await self.answer(line, headers, writer)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def answer(self, line, headers, writer):
        path = line.split()[1]
        if path == "/health":
            await self.in_slot(lambda: asyncio.sleep(0.001))
            self.write(writer, 200, [("X-Instance-Id", self.id), ("X-Server-Load", self.load())], b"ok\n")
            return
        request_id = headers.get("x-request-id", "")
        if headers.get("x-expect-instance", self.id) != self.id:
            self.write(writer, 421, [("X-Request-Id", request_id), ("X-Not-Executed", "1")], b"")
            return
        self.arrivals.append((time.monotonic(), request_id))
        await self.in_slot(lambda: self.run(path, request_id))
        self.write_answer(writer, request_id)

    def write_answer(self, writer, request_id):
        self.write(writer, 200, self.stamp(request_id), self.body_of(request_id))

    def stamp(self, request_id):
        return [("X-Request-Id", request_id), ("X-Server-Stamp", f"{self.id}.{request_id}"),
                ("X-Server-Load", self.load()), ("Keep-Alive", "timeout=10")]

    async def run(self, path, request_id):
        self.runs.append((time.monotonic(), request_id))
        self.record(f"{self.id} runs {request_id}")
        await self.work(path, request_id)

    @staticmethod
    def write(writer, status, headers, body):
        head = [f"HTTP/1.1 {status} Status"] + [f"{k}: {v}" for k, v in headers]
        head.append(f"Content-Length: {len(body)}")
        writer.write(("\r\n".join(head) + "\r\n\r\n").encode() + body)


def config(version, services, routes, max_body=67108864):
    """A config with one host. `routes` holds (name, prefix, kind, service, timeout, attempts)."""
    return json.dumps({
        "version": f"{version:08x}",
        "services": [{"name": s, "healthPath": "/health", "maxConnections": 330, "protocol": "h1",
                      "tls": False, "coldStart": "3s", "coldPerS": 5.7} for s in services],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": max_body,
                   "headerTimeout": "3000ms", "idleTimeout": "15000ms"},
        "virtualHosts": [{"host": "archive.example", "paths": [
            {"name": name, "pathPrefix": prefix, "kind": kind, "timeout": timeout,
             "targetLatency": "400ms", "priority": 1, "service": service, "attempts": attempts,
             "sticky": False, "homeRegions": []}
            for name, prefix, kind, service, timeout, attempts in routes]}],
    }).encode()


async def request(ip, method, path, request_id, deadline_ms=2500, body=b"", timeout=None):
    """One attempt of a client on a new connection."""
    headers = {"X-Request-Id": request_id, "X-Deadline-Ms": str(deadline_ms)}
    host = {"Host": "archive.example"}

    async def exchange():
        reader, writer = await asyncio.open_connection(ip, FRONT_PORT)
        try:
            head = [f"{method} {path} HTTP/1.1"] + [f"{k}: {v}" for k, v in {**host, **headers}.items()]
            if body or method == "POST":
                head.append(f"Content-Length: {len(body)}")
            writer.write(("\r\n".join(head) + "\r\n\r\n").encode() + body)
            await writer.drain()
            return await read_answer(reader)
        finally:
            writer.close()

    return await asyncio.wait_for(exchange(), timeout or deadline_ms / 1000 + 1)


async def wait_until_served(deployment, path, limit=25.0):
    """Waits until each entry serves a request of the route."""
    started, count = time.monotonic(), 0
    for index in range(len(deployment.fronts)):
        while True:
            if time.monotonic() - started > limit:
                cannot_run("the deployment does not serve")
            count += 1
            try:
                answer = await request(deployment.front_ip(index), "GET", path, f"warm-{count}")
                if answer.status == 200:
                    break
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0.1)


def run_case(folder, case):
    """Runs `case(deployment, record)`, which returns a list of breaks, and exits as the review asks."""
    record = Record(folder)
    record(f"TROUBLE={'1' if TROUBLE else '0'}")
    code = 2
    try:
        code = asyncio.run(asyncio.wait_for(case(record), 115))
    except asyncio.TimeoutError:
        print("the case could not run: it took too long")
    except Exception:
        print("the case could not run:")
        traceback.print_exc()
    record(f"exit {code}")
    sys.exit(code)
