"""All processes of the system are killed and are back within a second. Then an entry of another writer, whose service
is not one of this deployment, arrives for the address of each replica of the counter."""

import asyncio
import json
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-2"))
from harness import BROKEN, HELD, CannotRun, Connection, ERRORS, Replica, Site, call, configuration, run_case  # noqa: E402
from sites import PETA_DECK  # noqa: E402

RECORD = os.path.join(os.path.dirname(os.path.abspath(__file__)), "record.txt")
REPLICAS = 3
BEFORE_S, DOWN_S, FOREIGN_AFTER_S, MEASURED_S = 8.0, 0.9, 3.0, 20.0
RECOVERY_S = PETA_DECK["recovery_s"]
LIVING_SHARE = 0.25


async def traffic(site, outcomes):
    """Ten requests a second, each on a new connection to a node in turn, with the deadline and the retry of the
    sheet."""
    serial = 0

    async def one(node):
        sent_at = time.monotonic()
        status = 0
        for attempt in range(2):
            connection = Connection(site, (node + attempt) % len(site.fronts))
            try:
                await connection.open()
                _, status = await connection.send("GET", "/lookup/1", 2500)
                connection.close()
            except ERRORS:
                status = 0
            if status == 200:
                break
        outcomes.append((sent_at, status))
    while True:
        site.spawn(one(serial % len(site.fronts)))
        serial += 1
        await asyncio.sleep(0.1)


async def foreign_writer(site, replicas):
    """Another writer's description of a service on the same hosts: well formed, but its service is not named in the
    configuration."""
    for replica in replicas:
        entry = {"service": "map-archive", "address": "%s:%d" % replica.address, "zone": "z1", "version": "v1",
                 "slots": 1, "state": "ready", "cold_remaining_ms": 0, "sequence": 1, "born": int(time.time() * 1000)}
        for address in site.control_addresses:
            try:
                status, _, _ = await call(address, "POST", f"/burdockdeck/Instances.Heartbeat/a-{replica.id}",
                                          json.dumps(entry).encode())
            except ERRORS:
                continue
            site.record(f"another writer: entry of service map-archive for {entry['address']} is answered {status}")
            break


async def case(trouble):
    site = Site(RECORD, PETA_DECK, disks=3, others=0)
    try:
        replicas = [Replica(site, "counter", n) for n in range(REPLICAS)]
        site.start()
        site.spawn(site.supervise())
        for replica in replicas:
            await replica.start()
        routes = [{"path_prefix": "/lookup/", "type": "idempotent", "timeout_ms": 1200, "max_attempts": 2}]
        await site.send_configuration(configuration(1, routes))

        async def all_ready():
            return all([await site.is_ready(i) for i in range(len(site.ready))])
        await site.wait_until(all_ready, 15, "the nodes do not become ready")
        await asyncio.sleep(2.0)
        outcomes = []
        site.spawn(traffic(site, outcomes))
        began = time.monotonic()
        await asyncio.sleep(BEFORE_S)
        await site.send_configuration(configuration(2, routes))
        for process in site.processes:
            process.kill()
        site.record("final fault: all processes of the system are killed")
        fault_at = time.monotonic()
        await asyncio.sleep(DOWN_S)
        site.start()
        back_at = time.monotonic()
        site.record("the machines are back")
        await asyncio.sleep(FOREIGN_AFTER_S)
        if trouble:
            await foreign_writer(site, replicas)
        await asyncio.sleep(RECOVERY_S - FOREIGN_AFTER_S + MEASURED_S + 6)

        def share(low, high):
            statuses = [status for at, status in outcomes if low <= at < high]
            return sum(s == 200 for s in statuses) / max(1, len(statuses)), len(statuses)
        before, count_before = share(began, fault_at - 3)
        after, count_after = share(back_at + RECOVERY_S, back_at + RECOVERY_S + MEASURED_S)
        site.record(f"served before the final fault: {before:.3f} of {count_before} requests; sent later than "
                    f"{RECOVERY_S} s after the machines were back: {after:.3f} of {count_after}")
        print(f"served before {before:.3f} of {count_before}, after recovery_s {after:.3f} of {count_after}")
        if before < LIVING_SHARE or count_after < 50:
            raise CannotRun("too little was served before the final fault")
        return BROKEN if after < LIVING_SHARE else HELD
    finally:
        site.close()


run_case(case)
