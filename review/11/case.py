"""LOST: one disk is lost and all machines lose power; the seeds had no disk."""

import asyncio
import json
import os
import shutil
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "support-3"))

import fleet as stand_ins

RECOVERY_S = stand_ins.BOUNDS["recovery_s"]
CONTACT_S = stand_ins.BOUNDS["contact_ms"] / 1000
DOWN_S = 1.2
# Time for all machines to be in touch before the final fault.
CALM_S = 12.0
VERSION = 8
# For comparison: the seeds are the hosts with a disk.
SEEDS_WITH_DISK = os.environ.get("SEEDS_WITH_DISK") == "1"


async def read_back(fleet, for_s):
    """Read the configuration from all hosts for a time; return the versions read."""
    versions = set()
    until_s = time.monotonic() + for_s
    while time.monotonic() < until_s:
        for host in fleet.hosts:
            answer = await stand_ins.call(
                host.control, "GET", "/api/config", timeout_s=1.0
            )
            version = None
            if answer.status == 200 and answer.complete:
                version = json.loads(answer.body)["version"]
                versions.add(version)
            fleet.record.line(
                "read", host=host.name, status=answer.status, version=version
            )
        await asyncio.sleep(0.3)
    return versions


async def case(record):
    fleet = stand_ins.Fleet(record, hosts=6, engines=0, plain=2)
    with_disk, without_disk = fleet.hosts[:3], fleet.hosts[3:]
    for host in without_disk:
        host.folder = None
    fleet.chosen_seeds = with_disk if SEEDS_WITH_DISK else without_disk
    async with fleet.running():
        await asyncio.sleep(CALM_S)
        document = fleet.configuration(version=VERSION)
        await fleet.order("PUT", "/api/config", document)
        if stand_ins.trouble():
            lost = with_disk[0]
            for host in fleet.hosts:
                host.signal(stand_ins.signal.SIGKILL)
            for host in fleet.hosts:
                await host.wait()
            record.line("disk lost", machine=lost.name)
            shutil.rmtree(lost.folder)
            lost.folder.mkdir()
            await asyncio.sleep(DOWN_S)
            for host in fleet.hosts:
                host.start()
        await asyncio.sleep(RECOVERY_S)
        after = await read_back(fleet, 3 * CONTACT_S)
        serving = [
            (await fleet.request(host, "/look/2f")).status == 200
            for host in fleet.hosts
        ]
        record.line("read back", versions=sorted(after), hosts_that_serve=serving)
        return VERSION not in after


stand_ins.main(case, Path(__file__).parent)
