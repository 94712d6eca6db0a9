"""A replaced machine keeps its vote, and one lost disk takes the configuration away."""

import asyncio
import contextlib
import json
import shutil
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

CATCH_UP_S = 4.0
# How long the successor has run when the old machine is removed.
SUCCESSOR_RUNS_S = 2 * CATCH_UP_S
# From the removal of the old machine to the loss of the disk.
BETWEEN_S = 0.3
# The machine that lost its disk is back within a second.
RESTART_S = 0.7
RECOVERY_S = 12.0
CONTACT_S = 3.0
READ_FOR_S = 30.0


def configuration(version):
    return {
        "version": version,
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


async def read_version(ip):
    """Return the version that a host shows to the operator; None if it shows none."""
    with contextlib.suppress(OSError, TimeoutError, ValueError):
        reply = await call(ip, CONTROL, "GET", "/api/config", timeout_s=1.0)
        if reply.status == 200 and reply.complete:
            return json.loads(reply.body)["version"]
    return None


async def play(fleet, record, trouble):
    for ip in fleet.host_ips:
        fleet.start(ip, bootstrap=True)
    servers = [
        PlainServer(fleet, f"{fleet.network}.{101 + n}", "desk", zone, f"i-desk-{n}")
        for n, zone in enumerate(fleet.ZONES)
    ]
    for server in servers:
        fleet.servers.append(await server.serve())
    await fleet.put_configuration(configuration(7))
    await fleet.await_ready()
    first_ips = list(fleet.disk_ips)
    await asyncio.sleep(2.0)

    # A machine of the core is replaced: first comes the new one, with an empty disk.
    old = next(ip for ip in first_ips if ip != fleet.leader())
    new = f"{fleet.network}.4"
    fleet.disk_ips.append(new)
    fleet.host_ips.append(new)
    fleet.start(new)
    await fleet.await_ready([new])
    record.line(f"{new}, the successor of {old}, is ready")
    await asyncio.sleep(SUCCESSOR_RUNS_S)
    await fleet.put_configuration(configuration(8))
    await asyncio.sleep(1.0)
    for ip in fleet.host_ips:
        if await read_version(ip) != 8:
            raise CannotRunError(f"{ip} does not show version 8 while all is calm")

    # Then the old one is removed for good.
    loses_disk = fleet.leader()
    if loses_disk == old:
        raise CannotRunError("the old machine leads")
    fleet.host_ips.remove(old)
    fleet.kill(old)
    shutil.rmtree(fleet.folder / old)
    fleet.seed_ips = [ip for ip in fleet.disk_ips if ip != old]
    record.line(f"{old} is removed for good")
    if trouble:
        await asyncio.sleep(BETWEEN_S)
        fleet.kill(loses_disk)
        shutil.rmtree(fleet.folder / loses_disk)
        record.line(f"{loses_disk} loses its disk")
        await asyncio.sleep(RESTART_S)
        fleet.start(loses_disk)
    calm_s = record.now_s()

    shown = {}
    while record.now_s() - calm_s < READ_FOR_S and len(shown) < len(fleet.host_ips):
        for ip in fleet.host_ips:
            version = await read_version(ip)
            if version is not None and ip not in shown:
                shown[ip] = version
                record.line(f"{ip} shows version {version}")
        await asyncio.sleep(0.5)
    if not shown:
        record.line(
            f"BROKEN: no host has shown a configuration for {READ_FOR_S} s of calm; "
            "version 8 was acknowledged"
        )
    for ip in fleet.disk_ips:
        if ip == old:
            continue
        rows = fleet.log_rows(ip, "no_leader")
        if rows:
            record.line(f"log of {ip}: {json.dumps(rows[-1])}")
    return bool(shown) and all(version >= 8 for version in shown.values())


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).resolve().parent, case))
