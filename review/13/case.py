"""BUDGET: a part of prompts crashes each replica soon after its answer has begun."""

import asyncio
import os
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "support-3"))

import fleet as stand_ins

SHARED, DEADLY, SOUND = "5c1e07a2", "91bd3f06", "77aa10c4"
# Time from the first event of an answer to the crash that it causes.
CRASH_AFTER_S = float(os.environ.get("CRASH_AFTER_S", "0.4"))
# For comparison: how many sound parts stand before the others, and whether the part is
# harmless at first.
MORE_PARTS = int(os.environ.get("MORE_PARTS", "0"))
HARMLESS_FIRST = os.environ.get("HARMLESS_FIRST") == "1"
DOWN_S = 2.0
CONTACT_S = stand_ins.BOUNDS["contact_ms"] / 1000
COUNTED_CRASHES = 5
ALLOWED = 3
BEFORE_S, TROUBLE_S = 6.0, 24.0


class Engine(stand_ins.Engine):
    """A replica that crashes while it writes an answer on one part of a prompt."""

    event_s = 0.04
    events = 30

    async def run(self, method, path, headers, body, writer):
        ids = [item.split(":")[0] for item in headers.get("prefix-hash", "").split(",")]
        is_deadly = DEADLY in ids[:-1] and self.fleet.crashes
        if is_deadly and self.holds(headers):
            self.fleet.deadly_arrivals_s.append(time.monotonic())
            self.fleet.record.line(
                "request with the part reaches a replica",
                replica=self.instance_id,
                request=headers.get("request-id"),
            )
            asyncio.ensure_future(self.crash_soon(self.instance_id))
        return await super().run(method, path, headers, body, writer)

    async def crash_soon(self, instance_id):
        # The first event comes after event_s.
        await asyncio.sleep(self.event_s + CRASH_AFTER_S)
        if self.is_up and self.instance_id == instance_id:
            self.fleet.crashes_s.append(time.monotonic())
            await self.crash(DOWN_S)


class Fleet(stand_ins.Fleet):
    """A deployment with four model replicas."""

    make_engine = Engine

    def __init__(self, record):
        super().__init__(record, engines=4, plain=1)
        # Whether the part crashes replicas.
        self.crashes = True
        self.crashes_s, self.deadly_arrivals_s = [], []


async def call_until(fleet, until_s, parts, interval_s, number, answers):
    """Send one prompt after the other, no two alike, to the hosts in turn."""
    while time.monotonic() < until_s:
        number += 1
        more = [f"aa{count:06x}" for count in range(MORE_PARTS)]
        prompt = [*more, *parts, f"{number:x}{id(answers) & 0xFFFF:04x}"]
        answer = await fleet.request(
            fleet.hosts[number % len(fleet.hosts)],
            "/pufi791/2f",
            method="POST",
            model=f"{stand_ins.MODEL}/a{number % 2 + 1}",
            usage="1460,80",
            body=f"prompt {prompt}".encode(),
            deadline_ms=8000,
            headers=[("Prefix-Hash", ",".join(f"{part}:30" for part in prompt))],
        )
        answers.append((time.monotonic(), answer.status == 200 and answer.complete))
        await asyncio.sleep(interval_s)


def served(answers, from_s, until_s):
    outcomes = [outcome for at_s, outcome in answers if from_s <= at_s < until_s]
    return f"{sum(outcomes)} of {len(outcomes)}"


async def case(record):
    fleet = Fleet(record)
    async with fleet.running():
        sound, deadly = [], []
        began_s = time.monotonic()
        until_s = began_s + BEFORE_S + TROUBLE_S
        callers = [
            call_until(fleet, until_s, [SHARED, SOUND], 0.1, 100000 * n, sound)
            for n in range(10)
        ]
        running = asyncio.gather(*callers)
        if HARMLESS_FIRST:
            fleet.crashes = False
            until = began_s + BEFORE_S - 2.0
            await call_until(fleet, until, [SHARED, DEADLY], 0.1, 10**8, [])
            fleet.crashes = True
        await asyncio.sleep(began_s + BEFORE_S - time.monotonic())
        trouble_s = time.monotonic()
        if stand_ins.trouble():
            bad = [
                call_until(fleet, until_s, [SHARED, DEADLY], 0.5, 10**7 * n, deadly)
                for n in range(1, 3)
            ]
            await asyncio.gather(*bad)
        await running
        crashes_s = sorted(fleet.crashes_s)
        late = []
        if len(crashes_s) >= COUNTED_CRASHES:
            known_s = crashes_s[COUNTED_CRASHES - 1] + CONTACT_S
            late = [at_s for at_s in fleet.deadly_arrivals_s if at_s > known_s]
        record.line(
            "counted",
            crashes=len(crashes_s),
            crash_times_s=[round(at_s - trouble_s, 2) for at_s in crashes_s],
            requests_with_the_part_at_replicas=len(fleet.deadly_arrivals_s),
            of_these_later_than_contact_ms_after_the_fifth_crash=len(late),
            allowed=ALLOWED,
            sound_served_before=served(sound, began_s, trouble_s),
            sound_served_after=served(sound, trouble_s, until_s),
        )
        return len(late) > ALLOWED


stand_ins.main(case, Path(__file__).parent)
