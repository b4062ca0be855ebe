"""The same hang without another writer: four times, the engines of a zone crash at the moment at which all processes of the
core are killed, and come back at their addresses as new incarnations with new ids."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib"))

from case import play
from deployment import BOUNDS, CannotRun, Machine, ZONES
from standins import MODEL, Client, Engine, Operator, Replica, engine_service, plain_service, ready, route, wait_for

ENGINES, ROUNDS = 3, 4
TIMEOUT_MS = 2500
LONG_PROMPT = {"X-Model": MODEL, "X-Token-Usage": "9190,52", "X-Prompt-Prefix": "a1:6300,b2:2890"}


async def case(site, trouble):
    engines = []
    for i in range(ENGINES):
        engine = Engine(site, "engines", f"{site.net}.{101 + i}", f"{i}.0")
        await engine.start()
        engines.append(engine)
        site.sides.append(Machine(site, f"side-{i + 1}", engine.ip, ZONES[0], ["sidecar"], site.seeds,
                                  f"{engine.ip}:{engine.port}"))
    orders = Replica(site, "orders", f"{site.net}.201", 1)
    await orders.start()
    site.start()
    operator, client = Operator(site), Client(site)
    routes = [route("sheet", "/sheet/", "engines", "streaming", timeout_ms=TIMEOUT_MS, resumable=True, sticky=True,
                    target_latency_ms=600),
              route("lookup", "/lookup/", "orders", timeout_ms=TIMEOUT_MS)]
    if await operator.replace(1, routes, [engine_service("engines"), plain_service("orders")]) is None:
        raise CannotRun("the first configuration is not acknowledged")

    async def round_of_requests():
        sent = []
        for machine in site.diskless:
            sent.append(client.send(machine, "/sheet/x", "POST", TIMEOUT_MS, LONG_PROMPT))
            sent.append(client.send(machine, "/lookup/x", "GET", TIMEOUT_MS))
        return [status for status, _ in await asyncio.gather(*sent)]

    async def all_served():
        return all([status == 200 for status in await round_of_requests()])
    if not await wait_for(all_served, 15.0):
        raise CannotRun("the first configuration is not served")
    for number in range(1, ROUNDS + 1):
        for _ in range(5):
            await round_of_requests()
        if trouble:
            site.record("all engines crash and all processes of the core are killed")
            for engine in engines:
                engine.stop()
            for machine in site.edges:
                machine.kill()
            await asyncio.sleep(0.5)
            for machine in site.edges:
                machine.start()
        await asyncio.sleep(1.5)
        for i, engine in enumerate(engines if trouble else []):
            engine.id, engine.alive, engine.sequence = f"i-engines-{i}.{number}", True, 0
            await engine.start()
        # Everything has recovered before the next round.
        await asyncio.sleep(BOUNDS["recovery_s"])
    client.log.clear()
    for _ in range(5):
        await round_of_requests()
        await asyncio.sleep(0.2)
    unanswered = [entry for entry in client.log if entry[2] == 0]
    says_ready = [m.name for m in site.diskless if await ready(m)]
    for replica in engines + [orders]:
        replica.stop()
    site.record("summary:", len(client.log), "requests,", len(unanswered), "without an answer 1 s after timeout_ms;",
                "machines that say they are ready:", says_ready)
    if len(unanswered) >= 8 and 4 * len(unanswered) > len(client.log):
        return (f"CONFIG: {len(unanswered)} of {len(client.log)} requests have no answer 1 s after their route's "
                f"timeout_ms; {len(says_ready)} of {len(site.diskless)} machines still say that they are ready")
    return None


play(os.path.join(FOLDER, "record.txt"), case, diskless=1)
