"""Two machines of the core are replaced as planned work: both new machines start first and have long caught up, then the
old ones get SIGTERM and leave for good, one a second after the other."""

import asyncio
import os
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib"))

from case import play
from deployment import BOUNDS, CannotRun
from standins import Client, Operator, Replica, plain_service, ready, route, wait_for

SERVICES = [plain_service("orders")]
# The pause between two machines that leave: x of replace_core.
PAUSE_S = 1.0


async def leave(site, machine):
    """SIGTERM to the processes of a machine, SIGKILL after grace_s; the machine doesn't come back. Control and gateway
    are separate processes of the machine; the pause counts from the end of control."""
    for process in machine.processes.values():
        process.send_signal(signal.SIGTERM)
    until = time.monotonic() + BOUNDS["grace_s"]
    while machine.processes["control"].running() and time.monotonic() < until:
        await asyncio.sleep(0.02)
    machine.processes["control"].kill()
    site.record(machine.name, "has left: its control process has ended")


async def case(site, trouble):
    site.start()
    replica = Replica(site, "orders", f"{site.net}.201", 1)
    await replica.start()
    operator, client = Operator(site), Client(site)
    routes = [route("lookup", "/lookup/", "orders")]
    if await operator.replace(1, routes, SERVICES) is None:
        raise CannotRun("the first configuration is not acknowledged")
    old = list(site.edges)
    fresh = [site.add_edge(), site.add_edge()]
    for machine in fresh:
        machine.start()

    async def all_answer():
        return all([await operator.describe(m) == 1 for m in site.edges]) and all([await ready(m) for m in fresh])
    if not await wait_for(all_answer, 15.0):
        raise CannotRun("the new machines do not catch up")
    # Twice the time after which a new machine no longer counts as lost.
    await asyncio.sleep(2 * BOUNDS["catch_up_s"])
    if await operator.replace(2, routes, SERVICES) is None:
        raise CannotRun("the second configuration is not acknowledged")
    left = old[:2] if trouble else []
    for machine in left:
        await leave(site, machine)
        await asyncio.sleep(PAUSE_S)
    remaining = [m for m in site.edges if m not in left]
    # The time that the pages give for a recovery, and as long again for the bounds that an unstable core stretches.
    until = time.monotonic() + 2 * BOUNDS["recovery_s"] + BOUNDS["max_stretch_ms"] / 1000
    versions, acknowledged = [], None
    while time.monotonic() < until:
        versions = [await operator.describe(m) for m in remaining]
        if all(v is not None and v >= 2 for v in versions):
            break
        await asyncio.sleep(0.5)
    else:
        acknowledged = await operator.replace(3, routes, SERVICES, within=10.0)
        versions = [await operator.describe(m) for m in remaining]
    replica.stop()
    site.record("summary: versions read back at", [m.name for m in remaining], versions)
    if all(v is None for v in versions):
        return (f"CONFIG: version 2, acknowledged, does not come when it is read back: {len(remaining)} machines run "
                f"and are connected, none has answered with it for 40 s; version 3 is "
                f"{'acknowledged' if acknowledged else 'not acknowledged either'}")
    if any(v is not None and v < 2 for v in versions):
        return f"CONFIG: an older version than 2 is read back: {versions}"
    return None


play(os.path.join(FOLDER, "record.txt"), case)
