"""Hosts without a disk that start again after many changes of the configuration."""

import asyncio
import random
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "support-2"))

import standins as st  # noqa: E402

DISKLESS = 13
LINK_MBPS = 5.0
# The largest `big_config` of the site, and hundreds of changes.
ROUTES, CHANGES = 1400, 200
RECOVERY_S = 15.0
WATCH_S = 12.0
# RECOVER: less than a quarter is served, though a quarter or more was before.
PART = 0.25
BOUNDS = {
    "contact_ms": 5000, "config_apply_ms": 3000, "recovery_s": RECOVERY_S,
    "ack_ms": 6000, "catch_up_s": 6, "budget_slack": 180,
}
LETTERS = "abcdefghijklmnopqrstuvwxyz0123456789"


def document(version):
    """Return a configuration with many routes; the routes stay the same."""
    source = random.Random(5)

    def name(length):
        return "".join(source.choice(LETTERS) for _ in range(length))

    routes = [st.plain_route("safe", 1500, "r-look-up", "/g/")]
    routes += [
        st.plain_route("safe", 1500, f"r-{name(7)}", f"/{name(7)}/")
        for _ in range(ROUTES)
    ]
    routes[0]["aim_ms"] = 200 + version % 7
    return st.configuration(routes, [st.plain_service()], version)


async def case(record, trouble):
    fleet = st.Fleet(record, memory_mb=200, bounds=BOUNDS)
    fleet.add_plain(slots=64)
    links = []
    for _ in range(DISKLESS):
        host, link = fleet.add_diskless_host(), st.Link(LINK_MBPS)
        links.append(link)
        for offset in (0, 1):
            await link.open(host.ip, host.bound_ip, fleet.ports["first"] + offset)
    sent = 0

    async with fleet.running(document(1)):

        async def is_ready(host):
            answer = await st.call(
                host.bound_ip, fleet.ports["ready"], "GET", "/api/ready",
                {"Host": host.bound_ip}, timeout_s=1.0,
            )
            return answer.status == 200

        async def watch(length_s):
            """Send requests as the platform spreads them; return the part served."""
            nonlocal sent
            statuses = []
            until_s = time.monotonic() + length_s
            while time.monotonic() < until_s:
                ready = await asyncio.gather(*(is_ready(host) for host in fleet.hosts))
                rotation = [h for h, ok in zip(fleet.hosts, ready) if ok]
                # With fewer than half of a zone's nodes, all of them are used.
                if 2 * len(rotation) < len(fleet.hosts):
                    rotation = fleet.hosts
                batch = []
                for _ in range(16):
                    sent += 1
                    host = rotation[sent % len(rotation)]
                    batch.append(fleet.request(
                        host, "GET", f"/g/{sent}", f"q-{sent}", 1500
                    ))
                statuses += [answer.status for answer in await asyncio.gather(*batch)]
                await asyncio.sleep(0.5)
            served = sum(status == 200 for status in statuses) / len(statuses)
            record.line(f"served {served:.2f} of {len(statuses)}, ready {sum(ready)}")
            return served

        before = await watch(3.0)
        for version in range(2, 2 + CHANGES):
            await fleet.operator("PUT", "/api/config", document(version))
        record.line(f"configuration {1 + CHANGES} acknowledged")
        await asyncio.sleep(2.0)
        before = min(before, await watch(3.0))
        if trouble:
            record.line("all processes of the system are killed and start again")
            for host in fleet.hosts:
                host.kill()
            await asyncio.sleep(1.0)
            for host in fleet.hosts:
                host.start()
            await asyncio.sleep(RECOVERY_S)
        after = await watch(WATCH_S)
        for link in links:
            link.close()
        return before >= PART and after < PART


st.run_case(HERE, case)
