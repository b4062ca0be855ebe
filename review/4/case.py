"""The settings name other machines that serve control as seeds; the day ends with all processes killed."""

import asyncio
import os
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib"))

from case import play
from deployment import CONTROL_PORT, CannotRun
from standins import Client, Operator, Replica, plain_service, ready, route, wait_for

SERVICES = [plain_service("orders")]
DOWN_S = 0.95
# recovery_s of the site that claim.txt names.
RECOVERY_S = 15
WATCH_S = 18.0


def change_seeds(site, seeds):
    """Writes the seeds into the settings of all machines and sends SIGHUP, as the platform does."""
    site.record("the settings name other seeds:", seeds)
    for machine in site.machines():
        machine.seeds = seeds
        for process in machine.processes.values():
            process.write_settings()
            process.send_signal(signal.SIGHUP)


async def case(site, trouble):
    site.start()
    replicas = [Replica(site, "orders", f"{site.net}.{201 + i}", i) for i in range(3)]
    for replica in replicas:
        await replica.start()
    operator, client = Operator(site), Client(site)
    routes = [route("lookup", "/lookup/", "orders")]
    if await operator.replace(1, routes, SERVICES) is None:
        raise CannotRun("the first configuration is not acknowledged")
    machines = site.machines()

    async def round_of_requests():
        return await asyncio.gather(*(client.send(m, "/lookup/x") for m in machines))

    async def all_served():
        return all([status == 200 for status, _ in await round_of_requests()])
    if not await wait_for(all_served, 15.0):
        raise CannotRun("the first configuration is not served")
    others = [f"{m.ip}:{CONTROL_PORT}" for m in site.diskless if "control" in m.processes][:3]
    if len(others) < 3:
        raise CannotRun("no other machines serve control")
    await asyncio.sleep(2.0)
    if trouble:
        change_seeds(site, others)
    # Longer than seed_lag_s and stable_window_ms.
    await asyncio.sleep(8.0)
    client.log.clear()
    await round_of_requests()
    before = sum(entry[2] == 200 for entry in client.log)
    if await operator.replace(2, routes, SERVICES) is None:
        raise CannotRun("the second configuration is not acknowledged")
    site.record("final fault: all processes are killed")
    for machine in machines:
        machine.kill()
    await asyncio.sleep(DOWN_S)
    for machine in machines:
        machine.start()
    await asyncio.sleep(RECOVERY_S)
    client.log.clear()
    until = time.monotonic() + WATCH_S
    while time.monotonic() < until:
        await round_of_requests()
        await asyncio.sleep(1.0)
    served = sum(entry[2] == 200 for entry in client.log)
    are_ready = sum([await ready(m) for m in machines])
    versions = [await operator.describe(m) for m in site.edges]
    for replica in replicas:
        replica.stop()
    site.record("summary: before the final fault", before, "of", len(machines), "served; later than recovery_s after it",
                served, "of", len(client.log), "; machines ready:", are_ready, "; versions read back:", versions)
    if 4 * before < len(machines):
        raise CannotRun("too little was served before the final fault")
    if 4 * served < len(client.log):
        return (f"RECOVER: {served} of {len(client.log)} requests are served that were sent later than "
                f"{RECOVERY_S} s after the machines are back, {before} of {len(machines)} before; "
                f"{are_ready} of {len(machines)} machines are ready")
    return None


play(os.path.join(FOLDER, "record.txt"), case, diskless=5)
