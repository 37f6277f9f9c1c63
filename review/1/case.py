"""A health check takes a late second answer for its own, and the next request gets its answer.

A faulty worker truncates two answers and answers a third request twice, the second time late. Its
entry then checks its health on the connection that holds the second answer.
"""

import asyncio
import os
import re
import sys
from collections import Counter

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common"))
from deployment import (TROUBLE, Cloud, Deployment, Operator, Worker, config, read_head, request, run_case,
                        wait_until_served)

# Work of an order, in seconds; the site's orders take 0.64 on average and 1.92 at the most.
WORK_S = {"/orders/long/": 1.2, "/orders/short/": 0.64, "/plates/": 0.005}
CYCLES = 12
# The site garbles 0.03 of the answers of a worker: three in each hundred.
ANSWERS_PER_FAULT = 100
PLATES_PER_CYCLE = 110
# The entry whose requests are answered wrongly; clients of each entry name it in their ids.
ENTRY = "e1"


class FaultyWorker(Worker):
    """Truncates or repeats at most 0.03 of its answers; apart from that a sound worker."""

    def __init__(self, *args):
        super().__init__(*args)
        self.answers, self.faults, self.faulty = 0, 0, {}
        self.present = {}

    def plan_faults(self):
        """Chooses the faults for three requests that run at the same time."""
        ids = [r for r in self.present if re.fullmatch(ENTRY + r"-order-\d+-[012]", r)]
        allowed = self.answers >= ANSWERS_PER_FAULT * (self.faults // 3 + 1)
        if TROUBLE and allowed and len(ids) == 3 and not self.faulty:
            self.faults += 3
            self.faulty = {ids[0]: "second answer", ids[1]: "truncated", ids[2]: "truncated"}
            self.record(f"{self.id} will answer wrongly: {self.faulty}")

    async def work(self, path, request_id):
        await asyncio.sleep(next(work_s for prefix, work_s in WORK_S.items() if path.startswith(prefix)))

    async def serve(self, reader, writer):
        second_answer = b""
        try:
            while True:
                line, headers = await read_head(reader)
                length = int(headers.get("content-length", "0"))
                if length:
                    await reader.readexactly(length)
                if second_answer:
                    # It arrives late, where the next answer is expected.
                    self.record(f"{self.id} sends a second answer before that to {line}")
                    writer.write(second_answer)
                    second_answer = b""
                    await writer.drain()
                path, request_id = line.split()[1], headers.get("x-request-id", "")
                if path == "/health":
                    self.record(f"{self.id} gets a health check, load {self.load()}")
                    await self.answer_health(headers, writer)
                    await writer.drain()
                    continue
                if headers.get("x-expect-instance", self.id) != self.id:
                    self.write(writer, 421, [("X-Request-Id", request_id), ("X-Not-Executed", "1")], b"")
                    continue
                self.present[request_id] = True
                self.plan_faults()
                if not await self.run_before(float(headers.get("x-deadline-ms", "30000")) / 1000, path, request_id):
                    self.present.pop(request_id, None)
                    self.write(writer, 503, [("X-Request-Id", request_id), ("X-Not-Executed", "1"),
                                             ("X-Server-Load", self.load())], b"")
                    await writer.drain()
                    continue
                self.present.pop(request_id, None)
                self.answers += 1
                fault = self.faulty.pop(request_id, None)
                body = self.body_of(request_id)
                if fault == "truncated":
                    self.record(f"{self.id} truncates its answer to {request_id}")
                    head = "\r\n".join(f"{k}: {v}" for k, v in self.stamp(request_id))
                    writer.write(f"HTTP/1.1 200 OK\r\n{head}\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body[:5])
                    await writer.drain()
                    return
                self.write(writer, 200, self.stamp(request_id), body)
                await writer.drain()
                if fault == "second answer":
                    head = "\r\n".join(f"{k}: {v}" for k, v in self.stamp(request_id))
                    second_answer = f"HTTP/1.1 200 OK\r\n{head}\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def run_before(self, deadline_s, path, request_id):
        """Waits for a slot and runs the request. Returns whether it ran before its deadline."""
        self.waiting += 1
        try:
            await asyncio.wait_for(self.free.acquire(), deadline_s)
        except asyncio.TimeoutError:
            return False
        finally:
            self.waiting -= 1
        self.running += 1
        try:
            await self.run(path, request_id)
        finally:
            self.running -= 1
            self.free.release()
        return True

    async def answer_health(self, headers, writer):
        """A health check waits for a slot like a request, or is rejected like one."""
        self.waiting += 1
        try:
            await asyncio.wait_for(self.free.acquire(), float(headers.get("x-deadline-ms", "30000")) / 1000)
        except asyncio.TimeoutError:
            self.write(writer, 503, [("X-Not-Executed", "1"), ("X-Server-Load", self.load())], b"")
            self.record(f"{self.id} rejects the health check")
            return
        finally:
            self.waiting -= 1
        self.free.release()
        self.write(writer, 200, [("X-Instance-Id", self.id), ("X-Server-Load", self.load())], b"ok\n")
        self.record(f"{self.id} answers the health check")


class Clients:
    def __init__(self, deployment, record):
        self.deployment, self.record = deployment, record
        self.tasks, self.answers = set(), {}

    def send(self, entry, method, path, request_id):
        task = asyncio.create_task(self.one(entry, method, path, request_id))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def one(self, entry, method, path, request_id):
        body = b"specimen" if method == "POST" else b""
        self.record(f"client sends {request_id} to front-{entry}")
        try:
            answer = await request(self.deployment.front_ip(entry - 1), method, path, request_id, 3000, body)
            self.answers[request_id] = answer
            self.record(f"client gets {answer.status} for {request_id}, stamp "
                        f"{answer.headers.get('x-server-stamp')}, body {answer.body!r}")
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
            self.record(f"client gets no whole answer for {request_id}: {type(error).__name__}")


async def play_cycle(clients, cycle):
    """Fills a worker, lets it answer wrongly, and sends orders while it is busy and ejected."""
    path = "/orders/long/1" if cycle % 2 == 0 else "/orders/short/1"
    # Short requests, so that three faults are at most 0.03 of the answers.
    for number in range(PLATES_PER_CYCLE):
        clients.send(2, "GET", "/plates/1", f"e2-plate-{cycle}-{number}")
        await asyncio.sleep(0.01)
    await asyncio.sleep(0.1)
    for number in range(3):
        clients.send(1, "POST", path, f"{ENTRY}-order-{cycle}-{number}")
        await asyncio.sleep(0.05)
    await asyncio.sleep(WORK_S[path[:-1]] + 0.65)
    for number in range(3):
        clients.send(2, "POST", path, f"e2-order-{cycle}-{number}")
    for number in range(3, 6):
        await asyncio.sleep(0.06)
        clients.send(1, "POST", path, f"{ENTRY}-order-{cycle}-{number}")
    await asyncio.sleep(2 * WORK_S[path[:-1]] + 0.3)


async def case(record):
    deployment = Deployment(record, fronts=["sondrio", "sondrio", "rovereto", "aosta"])
    cloud, operator = Cloud(deployment), Operator(deployment, record)
    try:
        zones = ["sondrio", "rovereto", "aosta"]
        workers = [FaultyWorker(deployment, record, i, "registro", z) for i, z in enumerate(zones)]
        for worker in workers:
            await worker.start()
        cloud.rows = [w.row() for w in workers]
        await cloud.start()
        deployment.start()
        await asyncio.sleep(2)
        await operator.order("/v1/Config.Put", config(7, ["registro"], [
            ("orders", "/orders/", "unsafe", "registro", "2600ms", 2),
            ("plates", "/plates/", "safe", "registro", "2s", 2)]))
        await wait_until_served(deployment, "/plates/1")
        clients = Clients(deployment, record)
        for cycle in range(CYCLES):
            await play_cycle(clients, cycle)
        await asyncio.gather(*clients.tasks)
        return judge(record, workers, clients)
    finally:
        deployment.stop()


def judge(record, workers, clients):
    broken = set()
    runs = Counter(r for w in workers for _, r in w.runs)
    bodies = {r: {w.body_of(r) for w in workers} for r in clients.answers}
    for request_id, answer in clients.answers.items():
        foreign = "x-server-stamp" not in answer.headers or answer.body not in bodies[request_id]
        if 200 <= answer.status < 300 and foreign:
            broken.add("MIXED")
            record(f"MIXED: {request_id} got {answer.status} with body {answer.body!r}, no answer of a worker to it")
        if "-order-" in request_id and answer.status in (408, 421, 429, 503) and runs[request_id]:
            broken.add("REFUSED")
            record(f"REFUSED: {request_id} was answered {answer.status} and ran")
    for request_id, count in runs.items():
        if "-order-" in request_id and count > 1:
            broken.add("TWICE")
            record(f"TWICE: {request_id} ran {count} times")
    answers = sum(w.answers for w in workers)
    faults = sum(w.faults for w in workers)
    record(f"{faults} of {answers} answers were wrong")
    print(f"broken: {', '.join(sorted(broken)) or 'nothing'}; {faults} of {answers} answers were wrong")
    return 1 if broken else 0


run_case(HERE, case)
