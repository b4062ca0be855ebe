"""Another writer's heartbeats lack a field and all name one address; meanwhile clients ask with long prompts."""

import asyncio
import json
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib"))

from case import play
from deployment import BOUNDS, CONTROL_PORT, CannotRun, Machine, PORT_RANGE, ZONES
from standins import (ERRORS, MODEL, Client, Engine, Operator, call, engine_service, plain_service, ready, route,
                      wait_for, Replica)

ENGINES, FOREIGN_IDS = 3, 20
TIMEOUT_MS = 2500
LONG_PROMPT = {"X-Model": MODEL, "X-Token-Usage": "9190,52", "X-Prompt-Prefix": "a1:6300,b2:2890"}


async def other_writer(site):
    """Heartbeats of another writer's processes: an id each, one address for all, and no `born`."""
    for number in range(FOREIGN_IDS):
        machine = site.edges[number % len(site.edges)]
        body = json.dumps({"service": "engines", "address": f"{site.net}.240:8080", "zone": ZONES[0], "version": "v1",
                           "slots": 64, "state": "ready", "cold_remaining_ms": 0, "sequence": 1}).encode()
        status = 0
        try:
            status, _, _ = await call((machine.ip, CONTROL_PORT), "POST",
                                      f"/burdockdeck/Instances.Heartbeat/x-{number}", body,
                                      {"Content-Type": "application/json"})
        except ERRORS:
            pass
        site.record("other writer beats at", machine.name, "as", f"x-{number}", "answer", status or "none")


async def case(site, trouble):
    replicas = []
    for i in range(ENGINES):
        engine = Engine(site, "engines", f"{site.net}.{101 + i}", i)
        await engine.start()
        replicas.append(engine)
        site.sides.append(Machine(site, f"side-{i + 1}", engine.ip, ZONES[i], ["sidecar"], site.seeds,
                                  f"{engine.ip}:{engine.port}"))
    orders = Replica(site, "orders", f"{site.net}.201", 1)
    await orders.start()
    replicas.append(orders)
    site.start()
    operator, client = Operator(site), Client(site)
    routes = [route("sheet", "/sheet/", "engines", "streaming", timeout_ms=TIMEOUT_MS, resumable=True, sticky=True,
                    target_latency_ms=600),
              route("lookup", "/lookup/", "orders", timeout_ms=TIMEOUT_MS)]
    if await operator.replace(1, routes, [engine_service("engines"), plain_service("orders")]) is None:
        raise CannotRun("the first configuration is not acknowledged")

    async def round_of_requests():
        sent = []
        for machine in site.edges:
            sent.append(client.send(machine, "/sheet/x", "POST", TIMEOUT_MS, LONG_PROMPT))
            sent.append(client.send(machine, "/lookup/x", "GET", TIMEOUT_MS))
        return [status for status, _ in await asyncio.gather(*sent)]

    async def all_served():
        return all([status == 200 for status in await round_of_requests()])
    if not await wait_for(all_served, 15.0):
        raise CannotRun("the first configuration is not served")
    for _ in range(5):
        await round_of_requests()
    # Starts are long past, so that all machines are in touch.
    await asyncio.sleep(2 * BOUNDS["stable_window_ms"] / 1000)
    if trouble:
        await other_writer(site)
    await asyncio.sleep(1.0)
    client.log.clear()
    for _ in range(5):
        await round_of_requests()
        await asyncio.sleep(0.2)
    unanswered = [entry for entry in client.log if entry[2] == 0]
    says_ready = [m.name for m in site.edges if await ready(m)]
    for replica in replicas:
        replica.stop()
    site.record("summary:", len(client.log), "requests,", len(unanswered), "without an answer 1 s after timeout_ms;",
                "machines that say they are ready:", says_ready)
    if len(unanswered) >= 8 and 4 * len(unanswered) > len(client.log):
        return (f"CONFIG: {len(unanswered)} of {len(client.log)} requests have no answer 1 s after their route's "
                f"timeout_ms, at machines in touch; {len(says_ready)} of {len(site.edges)} machines still say that "
                "they are ready")
    served = sum(entry[2] == 200 for entry in client.log)
    if 2 * served < len(client.log):
        raise CannotRun(f"only {served} of {len(client.log)} requests are served")
    return None


play(os.path.join(FOLDER, "record.txt"), case)
