"""LIMIT: rare adapters are asked for at once, and fill the memory before the places."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "support-3"))

import fleet as stand_ins

# Adapters that are asked for at once. 15 fit into the memory of a replica beside its
# model, and 20 into its places.
RARE = 20
BUSY = 10


class Engine(stand_ins.Engine):
    """A replica with adapters of 100 MB."""

    adapter_mb = 100.0


class Fleet(stand_ins.Fleet):
    """A deployment with one model replica."""

    make_engine = Engine


async def case(record):
    fleet = Fleet(record, engines=1, plain=1)
    async with fleet.running():
        count = RARE if stand_ins.trouble() else BUSY

        async def ask(number, host):
            await fleet.request(
                host,
                "/lohu930/2f",
                method="POST",
                model=f"{stand_ins.MODEL}/a{number}",
                usage="1460,80",
                body=b"{}",
                deadline_ms=15000,
            )

        for _ in range(2):
            await asyncio.gather(
                *(
                    ask(number + 1, fleet.hosts[number % len(fleet.hosts)])
                    for number in range(count)
                )
            )
        record.line("times a replica was ordered too much", times=fleet.overloads)
        return fleet.overloads > 0


stand_ins.main(case, Path(__file__).parent)
