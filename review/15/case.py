"""ROUTE: the last tenant is taken away, and every key is let through."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "support-3"))

import fleet as stand_ins

APPLY_S = stand_ins.BOUNDS["config_apply_ms"] / 1000
# Requests to each host, for each of the keys.
REQUESTS = 3
UNKNOWN_KEY = "never-in-any-configuration"


async def ask_all(fleet, record, key, name):
    """Send requests with a key to all hosts; return how many have run."""
    ran = 0
    for number in range(REQUESTS):
        for host in fleet.hosts:
            answer = await fleet.request(host, "/cert/2f", method="POST", key=key)
            ran += answer.status == 200
    record.line("requests that ran", key=name, ran=ran)
    return ran


async def case(record):
    fleet = stand_ins.Fleet(record, engines=0, plain=2)
    async with fleet.running():
        key = stand_ins.API_KEY
        if not await ask_all(fleet, record, key, "of the tenant"):
            raise stand_ins.CaseError("the tenant is not served")
        if await ask_all(fleet, record, UNKNOWN_KEY, "unknown"):
            raise stand_ins.CaseError("an unknown key is let through from the start")
        document = fleet.configuration(version=8)
        if stand_ins.trouble():
            document["tenants"] = []
        else:
            document["tenants"][0]["api_keys"] = []
        record.line("tenants of version 8", tenants=document["tenants"])
        await fleet.order("PUT", "/api/config", document)
        await asyncio.sleep(APPLY_S + 1.0)
        ran = await ask_all(fleet, record, key, "taken away")
        ran += await ask_all(fleet, record, UNKNOWN_KEY, "unknown")
        return ran > 0


stand_ins.main(case, Path(__file__).parent)
