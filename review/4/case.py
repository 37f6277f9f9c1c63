"""An order that a cut delays undoes an evacuation that was ordered and acknowledged after it."""

import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common"))
from deployment import (BOUNDS, INTERNAL_PORT, TROUBLE, Cloud, Deployment, Operator, Worker, config,
                        request, run_case, wait_until_served)
from links import Links

CUT_S = 4.0
ZONE = "cogne"
ROUNDS = 2


async def clients(deployment, record, stop):
    """A steady stream of requests to all entries."""
    count, tasks = 0, set()

    async def one(ip, number):
        try:
            record(f"request r-{number} is sent to {ip}")
            answer = await request(ip, "GET", "/plates/1", f"r-{number}")
            record(f"request r-{number} gets {answer.status}")
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
            record(f"request r-{number} has no answer: {type(error).__name__}")

    while not stop.is_set():
        count += 1
        task = asyncio.create_task(one(deployment.front_ip(count % len(deployment.fronts)), count))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(0.02)
    await asyncio.gather(*tasks)


async def case(record):
    deployment = Deployment(record, proxied=True)
    cloud, operator = Cloud(deployment), Operator(deployment, record)
    links = Links(deployment, record, INTERNAL_PORT)
    try:
        workers = [Worker(deployment, record, i, "lastre", z)
                   for i, z in enumerate(["sondrio", "rovereto", "aosta", "bormio", "cavalese", "cogne", "cogne"])]
        for worker in workers:
            await worker.start()
        cloud.rows = [w.row() for w in workers]
        await cloud.start()
        await links.start()
        deployment.start()
        await asyncio.sleep(2)
        await operator.order("/v1/Config.Put", config(7, ["lastre"], [("r", "/plates/", "safe", "lastre", "2s", 2)]))
        await wait_until_served(deployment, "/plates/1")
        stop = asyncio.Event()
        stream = asyncio.create_task(clients(deployment, record, stop))
        evacuated = [w for w in workers if w.zone == ZONE]
        broken = 0
        for round_number in range(ROUNDS):
            broken += await play_round(deployment, links, operator, record, evacuated, round_number)
        stop.set()
        await stream
        print(f"EVAC broken in {broken} of {ROUNDS} rounds")
        return 1 if broken else 0
    finally:
        deployment.stop()


async def play_round(deployment, links, operator, record, evacuated, round_number):
    # Not a seed, and so hardly the leader, whose orders of an old term have no effect.
    node = 3 + round_number
    name = f"core-{deployment.cores[node]}"
    others = [i for i in range(len(deployment.cores)) if i != node]
    await operator.order(f"/v1/Evacuations.Start/{ZONE}", nodes=others)
    await asyncio.sleep(1)
    cut_at = time.monotonic()
    if TROUBLE:
        links.cut(name)

    async def heal():
        await asyncio.sleep(CUT_S)
        if TROUBLE:
            links.heal()

    healing = asyncio.create_task(heal())
    await operator.order(f"/v1/Evacuations.Finish/{ZONE}", nodes=[node] + others)
    await asyncio.sleep(0.5)
    acked_at = await operator.order(f"/v1/Evacuations.Start/{ZONE}", nodes=others)
    await healing
    # The bound, stretched for an unstable core, and the time after which the entries are in touch.
    bound = max(acked_at + BOUNDS["evacuate"] + BOUNDS["maxStretch"],
                cut_at + CUT_S + BOUNDS["contact"] + BOUNDS["evacuate"])
    await asyncio.sleep(bound + 4 - time.monotonic())
    late = [(at, r) for w in evacuated for at, r in w.arrivals if bound < at]
    for at, request_id in late[:5]:
        record(f"EVAC: {request_id} reached a worker in {ZONE} {at - acked_at:.1f} s after the ack")
    record(f"round {round_number + 1}: {len(late)} requests reached {ZONE} after the bound")
    # Ends the evacuation before the next round.
    await operator.order(f"/v1/Evacuations.Finish/{ZONE}", nodes=others)
    await asyncio.sleep(2)
    return 1 if late else 0


run_case(HERE, case)
