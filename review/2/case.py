"""Another writer sends heartbeats that can't be read; meanwhile the operator moves a route to another service."""

import asyncio
import json
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib"))

from case import play
from deployment import BOUNDS, CONTROL_PORT, HEARTBEAT_S, CannotRun
from standins import ERRORS, Client, Operator, Replica, call, plain_service, ready, route, wait_for

SERVICES = [plain_service("old"), plain_service("new")]
# The id of the heartbeat's path: two of its bytes are no text in any encoding that the pages use.
UNREADABLE_ID = b"i-\xff\xfe"


async def other_writer(site, until):
    """A heartbeat each heartbeat_ms, to one node after the other, as replicas send them."""
    beats = 0
    while time.monotonic() < until:
        machine = site.edges[beats % len(site.edges)]
        beats += 1
        body = json.dumps({"service": "old", "address": f"{site.net}.200:9", "zone": "zone-a", "version": "v1",
                           "slots": 6, "state": "ready", "cold_remaining_ms": 0, "sequence": beats,
                           "born": 1}).encode()
        status = 0
        try:
            status, _, _ = await call((machine.ip, CONTROL_PORT), "POST",
                                      b"/burdockdeck/Instances.Heartbeat/" + UNREADABLE_ID, body,
                                      {"Content-Type": "application/json"})
        except ERRORS:
            pass
        site.record("other writer beats at", machine.name, "with id", UNREADABLE_ID, "answer", status or "none")
        await asyncio.sleep(HEARTBEAT_S)


async def case(site, trouble):
    site.start()
    replicas = [Replica(site, name, f"{site.net}.{201 + 2 * n + i}", i)
                for n, name in enumerate(("old", "new")) for i in range(2)]
    for replica in replicas:
        await replica.start()
    operator, client = Operator(site), Client(site)
    if await operator.replace(1, [route("lookup", "/lookup/", "old")], SERVICES) is None:
        raise CannotRun("the first configuration is not acknowledged")

    async def served():
        return all([(await client.send(m, "/lookup/x"))[0] == 200 for m in site.edges]) and \
            all([await ready(m) for m in site.edges])
    if not await wait_for(served, 10.0):
        raise CannotRun("the first configuration is not served")
    beats = asyncio.create_task(other_writer(site, time.monotonic() + 14.0)) if trouble else None
    await asyncio.sleep(5.0)
    acknowledged_at = await operator.replace(2, [route("lookup", "/lookup/", "new")], SERVICES)
    if acknowledged_at is None:
        raise CannotRun("the second configuration is not acknowledged")
    await asyncio.sleep(BOUNDS["config_apply_ms"] / 1000 + 0.2)
    client.log.clear()
    for _ in range(10):
        for machine in site.edges:
            await client.send(machine, "/lookup/x")
        await asyncio.sleep(0.3)
    old = [entry for entry in client.log if entry[3].startswith("i-old")]
    new = [entry for entry in client.log if entry[3].startswith("i-new")]
    # A machine that is stopped and started comes back without any configuration.
    gateway = site.edges[0].processes["gateway"]
    gateway.send_signal(15)
    await asyncio.to_thread(gateway.child.wait)
    gateway.start()
    back = await wait_for(lambda: ready(site.edges[0]), BOUNDS["recovery_s"])
    site.record("summary:", len(client.log), "requests after the bound,", len(old), "run by the old service,",
                len(new), "by the new one; a restarted gateway is ready again:", back)
    for task in [beats] if beats else []:
        task.cancel()
    for replica in replicas:
        replica.stop()
    if old:
        return (f"CONFIG: {len(old)} of {len(client.log)} requests that were sent more than "
                f"{BOUNDS['config_apply_ms']} ms after version 2 was acknowledged were run by the service of version 1; "
                f"a restarted gateway {'is ready again' if back else 'gets no configuration at all'}")
    if len(new) <= len(client.log) / 2:
        raise CannotRun("the requests are not served")
    return None


play(os.path.join(FOLDER, "record.txt"), case)
