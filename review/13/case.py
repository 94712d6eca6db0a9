"""RECOVER: all machines lose power while the replicas hold several models."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "support-3"))

import fleet as stand_ins

MODELS = tuple(f"daka5100{number:02d}" for number in range(10))
REQUESTS = 40
# Time between two requests.
INTERVAL_S = 0.2
DOWN_S = 1.0
RECOVERY_S = stand_ins.BOUNDS["recovery_s"]


class Engine(stand_ins.Engine):
    """A replica that holds ten models of 6.5 GB, which fit beside their adapters."""

    model_mb = 6500.0


class Fleet(stand_ins.Fleet):
    """A deployment whose replicas hold ten models."""

    make_engine = Engine
    model_names = MODELS


async def ask_all(fleet, requests=REQUESTS):
    """Send requests for adapters of all models in turn; return how many are served."""

    async def ask(number):
        await asyncio.sleep(number * INTERVAL_S)
        answer = await fleet.request(
            fleet.hosts[number % len(fleet.hosts)],
            "/pufi791/2f",
            method="POST",
            model=f"{MODELS[number % len(MODELS)]}/a1",
            usage="1460,80",
            body=b"{}",
            deadline_ms=15000,
        )
        return answer.status == 200 and answer.complete

    return sum(await asyncio.gather(*(ask(number) for number in range(requests))))


async def case(record):
    fleet = Fleet(record, engines=2, plain=1)
    machines = [*fleet.hosts, *fleet.agents]
    async with fleet.running():
        before = await ask_all(fleet)
        record.line("served before", served=before, sent=REQUESTS)
        if stand_ins.trouble():
            for machine in machines:
                machine.signal(stand_ins.signal.SIGKILL)
            for engine in fleet.engines:
                record.line("replica without power", replica=engine.instance_id)
                await engine.stop()
            for machine in machines:
                await machine.wait()
            await asyncio.sleep(DOWN_S)
            for machine in machines:
                machine.start()
            for engine in fleet.engines:
                await engine.restart()
        # Traffic goes on through the recovery.
        await ask_all(fleet, int((RECOVERY_S + 0.5) / INTERVAL_S))
        after = await ask_all(fleet)
        record.line("served later than recovery_s", served=after, sent=REQUESTS)
        for engine in fleet.engines:
            record.line("models held", replica=engine.instance_id, models=engine.models)
        return before >= REQUESTS / 4 and after < REQUESTS / 4


stand_ins.main(case, Path(__file__).parent)
