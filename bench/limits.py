"""Compares ways to keep one rate over many entry hosts, with a skewed balancer.

Drives the credit functions of leader and entry hosts in virtual time; demand
stays within the workspace's rate, so that every refusal is a wrongful one.
"""

import random
from collections.abc import Callable, Sequence

from figures import Row, write_rows

from damaskvalve._credit_pool import CreditPool
from damaskvalve_core.messages import CreditGrant
from damaskvalve_state import GRANT_LIFETIME_S, CreditLedger, Limit

RATE = 1_000.0
BURST = 4_000.0
DEMAND = 0.9
COST = 40.0
SPREAD = (0.8, 0.15, 0.05)
LENGTH_S = 120.0
REPORT_S = 0.25
ROUND_TRIP_S = 0.004
NO_LEADER_S = 2.0
WORKSPACE = "w"


class Outcome:
    """What one way came to."""

    def __init__(self) -> None:
        self.requests = 0
        self.refused = 0
        self.messages = 0
        self.waited_s = 0.0


def arrivals(seed: int) -> Sequence[tuple[float, int]]:
    """Return the times of requests and the entry host that each reaches."""
    rng = random.Random(seed)
    at_s = 0.0
    found = []
    while at_s < LENGTH_S:
        at_s += rng.expovariate(RATE * DEMAND / COST)
        found.append((at_s, rng.choices(range(len(SPREAD)), SPREAD)[0]))
    return found


def static_split(seed: int) -> Outcome:
    """Give each entry host an equal part of rate and burst."""
    outcome = Outcome()
    parts = len(SPREAD)
    levels = [BURST / parts] * parts
    seen_s = [0.0] * parts
    for at_s, entry in arrivals(seed):
        outcome.requests += 1
        added = (at_s - seen_s[entry]) * RATE / parts
        levels[entry] = min(BURST / parts, levels[entry] + added)
        seen_s[entry] = at_s
        if levels[entry] < COST:
            outcome.refused += 1
        else:
            levels[entry] -= COST
    return outcome


def call_for_each(seed: int, *, leader_change: bool = False) -> Outcome:
    """Ask the leader for each request; without a leader it is refused."""
    outcome = Outcome()
    level = BURST
    seen_s = 0.0
    for at_s, _ in arrivals(seed):
        outcome.requests += 1
        outcome.messages += 1
        outcome.waited_s += ROUND_TRIP_S
        level = min(BURST, level + (at_s - seen_s) * RATE)
        seen_s = at_s
        if leader_change and _is_leaderless(at_s):
            outcome.refused += 1
        elif level < COST:
            outcome.refused += 1
        else:
            level -= COST
    return outcome


def _is_leaderless(at_s: float) -> bool:
    return LENGTH_S / 2 <= at_s < LENGTH_S / 2 + NO_LEADER_S


class CreditWorld:
    """Entry hosts with credit pools and a leader with a credit book."""

    def __init__(self, *, leader_change: bool) -> None:
        self.limit = Limit(RATE, BURST)
        self.ledger = CreditLedger({}, 0.0)
        self.pools = [CreditPool() for _ in SPREAD]
        self.sequences = [0] * len(SPREAD)
        self.committed = {}  # type: ignore[var-annotated]
        self.leader_change = leader_change
        self.changed = False
        self.outcome = Outcome()

    def exchange(self, entry: int, now_s: float) -> None:
        """Run one exchange of an entry host with the leader, if there is one."""
        if self.leader_change and _is_leaderless(now_s):
            return
        if self.leader_change and not self.changed and now_s > LENGTH_S / 2:
            self.changed = True
            self.ledger = CreditLedger(self.committed, now_s)
        asks = self.pools[entry].build_asks(now_s)
        if not asks:
            return
        self.outcome.messages += 1
        self.sequences[entry] += 1
        name = f"e{entry}"
        grants: list[CreditGrant] = []
        for ask in asks:
            self.ledger.settle(name, ask, self.limit, now_s)
            limits = {WORKSPACE: self.limit}
            records = self.ledger.reservations([ask], limits, now_s)
            self.committed.update((item.workspace, item) for item in records)
            self.ledger.apply_reservations(records)
            grants.append(self.ledger.grant(name, ask, self.limit, now_s))
        self.pools[entry].add_grants(grants, GRANT_LIFETIME_S, now_s)

    def run(self, seed: int) -> Outcome:
        """Run all requests."""
        next_report_s = 0.0
        for at_s, entry in arrivals(seed):
            while next_report_s < at_s:
                for number in range(len(SPREAD)):
                    self.exchange(number, next_report_s)
                next_report_s += REPORT_S
            self.outcome.requests += 1
            if self.pools[entry].spend(WORKSPACE, COST, BURST, at_s):
                continue
            self.outcome.waited_s += ROUND_TRIP_S
            self.exchange(entry, at_s)
            if not self.pools[entry].retry_spend(WORKSPACE, COST, at_s):
                self.outcome.refused += 1
        return self.outcome


def credit(seed: int, *, leader_change: bool = False) -> Outcome:
    """Use credit as the system does."""
    return CreditWorld(leader_change=leader_change).run(seed)


def _mean(way: Callable[[int], Outcome], what: Callable[[Outcome], float]) -> float:
    seeds = range(10)
    return sum(what(way(seed)) for seed in seeds) / len(seeds)


def measure() -> Sequence[Row]:
    """Compare all ways over ten seeds."""

    def refused(outcome: Outcome) -> float:
        return 100 * outcome.refused / outcome.requests

    def messages(outcome: Outcome) -> float:
        return outcome.messages / outcome.requests

    def waited_ms(outcome: Outcome) -> float:
        return 1000 * outcome.waited_s / outcome.requests

    def changing(seed: int) -> Outcome:
        return credit(seed, leader_change=True)

    def calls_changing(seed: int) -> Outcome:
        return call_for_each(seed, leader_change=True)

    split = "static split"
    each = "call for each"
    rows = []
    ours = _mean(credit, refused)
    title = "limits.wrongly_refused.skewed"
    rows.append(Row(title, ours, "%", split, _mean(static_split, refused)))
    rows.append(Row(title, ours, "%", each, _mean(call_for_each, refused)))
    title = "limits.wrongly_refused.leader_change"
    against = _mean(calls_changing, refused)
    rows.append(Row(title, _mean(changing, refused), "%", each, against))
    title = "limits.messages_by_request"
    against = _mean(call_for_each, messages)
    rows.append(Row(title, _mean(credit, messages), "messages", each, against))
    title = "limits.added_wait"
    against = _mean(call_for_each, waited_ms)
    rows.append(Row(title, _mean(credit, waited_ms), "ms", each, against))
    return rows


if __name__ == "__main__":
    write_rows(measure(), "limits.json")
