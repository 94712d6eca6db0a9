"""After a restart of the core, hosts go on using a replica that is gone."""

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "support"))

from fleet import (  # noqa: E402
    API_KEY,
    CONTROL,
    HOST_NAME,
    CannotRunError,
    Fleet,
    PlainServer,
    call,
    run_case,
)

# The machines of the core are back within a second.
DARK_S = 0.7
# Requests are sent from this long after the acknowledgement: the core has been calm for
# longer than contact_ms, and the last heartbeat of the replica is older than any limit
# on the age of heartbeats. The replica goes on serving until then.
PROBE_AFTER_S = 9.0
PROBE_FOR_S = 2.0
PROBES_PER_HOST = 8

CONFIGURATION = {
    "version": 7,
    "routes": [
        {
            "name": "records",
            "host": HOST_NAME,
            "path_prefix": "/records/",
            "kind": "unsafe",
            "timeout_ms": 1500,
            "aim_ms": 200,
            "priority": 2,
            "service": "desk",
            "max_attempts": 1,
            "public": False,
        }
    ],
    "services": [
        {
            "name": "desk",
            "health_path": "/health",
            "max_conns": 130,
            "protocol": "h1",
            "tls": False,
        }
    ],
    "limits": {
        "header_bytes": 16384,
        "body_bytes": 4194304,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    },
    "tenants": [
        {
            "name": "w1",
            "api_keys": [API_KEY],
            "priority": 1,
            "unit": "token_stream",
            "plain_tokens": 200,
            "rate_per_s": 40000,
            "burst": 40000,
        }
    ],
}


async def case(record, trouble):
    fleet = Fleet(record)
    try:
        return await play(fleet, record, trouble)
    finally:
        await fleet.close()


async def play(fleet, record, trouble):
    for ip in fleet.host_ips:
        fleet.start(ip, bootstrap=True)
    names = ("i-stays-1", "i-stays-2", "i-leaves")
    servers = [
        PlainServer(fleet, f"{fleet.network}.{101 + n}", "desk", zone, names[n])
        for n, zone in enumerate(fleet.ZONES)
    ]
    for server in servers:
        fleet.servers.append(await server.serve())
    leaving = servers[-1]
    await fleet.put_configuration(CONFIGURATION)
    await fleet.await_ready()
    # Some seconds of calm: each host serves and knows all three replicas.
    for _ in range(6):
        for ip in fleet.host_ips:
            _, reply = await fleet.send(ip, "/records/a")
            if reply is None or reply.status not in (200, 503):
                raise CannotRunError(f"{ip} does not serve")
        await asyncio.sleep(0.8)
    if not all(server.runs for server in servers):
        raise CannotRunError("a replica got no request while all was calm")
    leader = fleet.leader()
    if not leader:
        raise CannotRunError("no host leads")

    # The replica is taken away: it says so by DELETE, serves on, and then exits.
    leaving.announcing = False
    await asyncio.sleep(0.3)
    leaving.leaving = True
    reply = await call(
        leader, CONTROL, "DELETE", f"/api/instances/{leaving.instance_id}"
    )
    acked_s = record.now_s()
    if reply.status != 200:
        raise CannotRunError("the removal was not acknowledged")
    record.line(f"{leader} acknowledges that {leaving.instance_id} is gone")
    if trouble:
        # All machines of the core lose power right after the acknowledgement.
        for ip in fleet.disk_ips:
            fleet.signal(ip, signal.SIGKILL)
        await asyncio.sleep(DARK_S)
        for ip in fleet.disk_ips:
            fleet.processes[ip, "host"].wait()
            fleet.start(ip)
    await asyncio.sleep(acked_s + PROBE_AFTER_S - record.now_s())
    await fleet.await_ready()

    sent = {}

    async def probe(ip):
        for _ in range(PROBES_PER_HOST):
            sent_s = record.now_s()
            request_id, _ = await fleet.send(ip, "/records/b")
            sent[request_id] = sent_s
            await asyncio.sleep(PROBE_FOR_S / PROBES_PER_HOST)

    await asyncio.gather(*(probe(ip) for ip in fleet.host_ips))
    late = [item for item in leaving.runs if item[0] in sent]
    for request_id, arrived_s in late:
        record.line(
            f"BROKEN: {request_id}, sent {sent[request_id] - acked_s:.2f} s after the "
            f"acknowledgement, reached {leaving.instance_id}"
        )
    served = sum(item[0] in sent for server in servers[:2] for item in server.runs)
    record.line(
        f"{len(sent)} requests were sent, {served} ran at the replicas that stay, "
        f"{len(late)} at the one that is gone"
    )
    return not late


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).resolve().parent, case))
