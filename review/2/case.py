"""One wrong number in a header of a worker's answer ends the entry that reads it."""

import asyncio
import os
import sys
from collections import Counter

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common"))
from deployment import (FRONT_PORT, TROUBLE, Cloud, Deployment, Operator, Worker, config, read_answer, run_case,
                        wait_until_served)

# The site garbles 0.03 of the answers of a worker.
ANSWERS_PER_FAULT = 34
# Of twelve; the site garbles answers of a share of 0.35 of the workers and more.
FAULTY_WORKERS = 4
# -1 as an unsigned number of 64 bits.
WRONG_TIMEOUT = "timeout=18446744073709551615"
OBSERVED_S = 45.0
RESTART_DELAY_S = 0.5
CONNECTIONS_PER_ENTRY = 4
# LOST: "more than three times".
LOST_LIMIT = 3
# Fault: three ends of a process by itself, on a tenth of the 15 machines, two at least.
ENDS_LIMIT, MACHINES_LIMIT = 3, 2


class FaultyWorker(Worker):
    """Spoils 0.03 of its answers: a wrong number in the header Keep-Alive, and the end of the body missing."""

    def __init__(self, *args):
        super().__init__(*args)
        self.answers = self.faults = 0
        self.faulty = False

    def write_answer(self, writer, request_id):
        self.answers += 1
        headers, body = self.stamp(request_id), self.body_of(request_id)
        if not self.faulty or self.answers // ANSWERS_PER_FAULT <= self.faults:
            return super().write_answer(writer, request_id)
        self.faults += 1
        self.record(f"{self.id} spoils its answer to {request_id}: Keep-Alive: {WRONG_TIMEOUT}, 5 bytes of the body")
        headers = [h for h in headers if h[0] != "Keep-Alive"] + [("Keep-Alive", WRONG_TIMEOUT)]
        head = "".join(f"{k}: {v}\r\n" for k, v in headers)
        writer.write(f"HTTP/1.1 200 OK\r\n{head}Content-Length: {len(body)}\r\n\r\n".encode() + body[:5])
        raise ConnectionError("the answer breaks off")


class Platform:
    """Starts a process again that has ended."""

    def __init__(self, deployment, record):
        self.deployment, self.record = deployment, record
        self.ends = Counter()

    async def watch(self):
        while True:
            for name, process in list(self.deployment.processes.items()):
                if process.poll() is not None:
                    self.ends[name] += 1
                    self.record(f"{name} ended by itself with {process.returncode}")
                    await asyncio.sleep(RESTART_DELAY_S)
                    self.deployment.launch(name)
            await asyncio.sleep(0.02)


class Client:
    """Sends one request after the other on a kept connection, and opens another one when it is closed."""

    def __init__(self, deployment, record, entry, number, unanswered):
        self.ip, self.record, self.name = deployment.front_ip(entry), record, f"c{entry}-{number}"
        self.unanswered = unanswered

    async def run(self):
        count = 0
        while True:
            try:
                reader, writer = await asyncio.open_connection(self.ip, FRONT_PORT)
            except OSError:
                await asyncio.sleep(0.2)
                continue
            request_id = None
            try:
                while True:
                    count += 1
                    request_id = f"{self.name}-{count}"
                    self.record(f"{request_id} is sent")
                    writer.write((f"GET /plates/1 HTTP/1.1\r\nHost: archive.example\r\nX-Request-Id: {request_id}\r\n"
                                  "X-Deadline-Ms: 2500\r\n\r\n").encode())
                    await writer.drain()
                    answer = await read_answer(reader)
                    self.record(f"{request_id} gets {answer.status}")
                    if answer.headers.get("connection") == "close":
                        break
                    await asyncio.sleep(0.02)
            except (OSError, asyncio.IncompleteReadError) as error:
                self.record(f"{request_id} has no answer, its connection ends: {type(error).__name__}")
                self.unanswered.append(request_id)
            finally:
                writer.close()


async def case(record):
    deployment = Deployment(record)
    cloud, operator = Cloud(deployment), Operator(deployment, record)
    tasks = []
    try:
        zones = ["sondrio", "rovereto", "aosta", "bormio", "cavalese", "cogne"] * 2
        workers = [FaultyWorker(deployment, record, i, "lastre", z) for i, z in enumerate(zones)]
        for worker in workers:
            await worker.start()
        cloud.rows = [w.row() for w in workers]
        await cloud.start()
        deployment.start()
        await asyncio.sleep(2)
        await operator.order("/v1/Config.Put", config(7, ["lastre"], [("r", "/plates/", "safe", "lastre", "2s", 2)]))
        await wait_until_served(deployment, "/plates/1")
        platform, unanswered = Platform(deployment, record), []
        tasks.append(asyncio.create_task(platform.watch()))
        for entry in range(len(deployment.fronts)):
            for number in range(CONNECTIONS_PER_ENTRY):
                client = Client(deployment, record, entry, number, unanswered)
                tasks.append(asyncio.create_task(client.run()))
        await asyncio.sleep(3)
        faulty = workers[:FAULTY_WORKERS]
        for worker in faulty:
            worker.answers, worker.faulty = 0, TROUBLE
        await asyncio.sleep(OBSERVED_S)
        return judge(record, faulty, workers, platform, unanswered)
    finally:
        for task in tasks:
            task.cancel()
        deployment.stop()


def judge(record, faulty, workers, platform, unanswered):
    at_sound = {r for w in workers if w not in faulty for _, r in w.runs}
    lost = [r for r in unanswered if r in at_sound]
    for request_id in lost:
        record(f"LOST: {request_id} was passed on to a sound worker, and its connection ended without an answer")
    broken = []
    if len(lost) > LOST_LIMIT:
        broken.append("LOST")
    if sum(ends >= ENDS_LIMIT for ends in platform.ends.values()) >= MACHINES_LIMIT:
        broken.append("Fault")
    faults, answers = sum(w.faults for w in faulty), sum(w.answers for w in faulty)
    text = (f"broken: {', '.join(broken) or 'nothing'}; {faults} of {answers} answers of {len(faulty)} workers "
            f"were spoiled; processes ended {dict(platform.ends)}; {len(lost)} requests at sound workers were lost")
    record(text)
    print(text)
    return 1 if broken else 0


run_case(HERE, case)
