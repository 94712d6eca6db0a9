"""Compares methods to enforce one rate over many entry hosts.

Runs the credit functions of the leader and the entry hosts in virtual time, behind a
load balancer that distributes requests unevenly. The mean demand is below the
workspace's rate, so that each refusal counts as wrong.
"""

import random
from collections.abc import Callable, Sequence

from results import Row, write_rows

from damaskvalve._credit_pool import CreditPool
from damaskvalve_core.messages import CreditGrant
from damaskvalve_state import GRANT_LIFETIME_S, CreditLedger, Limit

# Rate, burst and request cost are in cost units.
RATE_PER_S = 1_000.0
BURST = 4_000.0
# The mean demand as a fraction of the rate.
DEMAND_SHARE = 0.9
REQUEST_COST = 40.0
# The fraction of the requests that each entry host receives.
TRAFFIC_SHARES = (0.8, 0.15, 0.05)
DURATION_S = 120.0
REPORT_INTERVAL_S = 0.25
ROUND_TRIP_S = 0.004
# The time without a leader, which starts at half of DURATION_S.
LEADERLESS_S = 2.0
WORKSPACE = "w"


class Outcome:
    """Counts and total waiting time of one simulated run of a method."""

    def __init__(self) -> None:
        self.requests = 0
        self.refused = 0
        self.messages = 0
        self.waited_s = 0.0


def make_arrivals(seed: int) -> Sequence[tuple[float, int]]:
    """Return the time of each request and the entry host that it reaches."""
    rng = random.Random(seed)
    at_s = 0.0
    arrivals = []
    while at_s < DURATION_S:
        at_s += rng.expovariate(RATE_PER_S * DEMAND_SHARE / REQUEST_COST)
        arrivals.append(
            (at_s, rng.choices(range(len(TRAFFIC_SHARES)), TRAFFIC_SHARES)[0])
        )
    return arrivals


def simulate_static_split(seed: int) -> Outcome:
    """Give each entry host an equal share of rate and burst."""
    outcome = Outcome()
    host_count = len(TRAFFIC_SHARES)
    levels = [BURST / host_count] * host_count
    updated_s = [0.0] * host_count
    for at_s, entry in make_arrivals(seed):
        outcome.requests += 1
        refill = (at_s - updated_s[entry]) * RATE_PER_S / host_count
        levels[entry] = min(BURST / host_count, levels[entry] + refill)
        updated_s[entry] = at_s
        if levels[entry] < REQUEST_COST:
            outcome.refused += 1
        else:
            levels[entry] -= REQUEST_COST
    return outcome


def simulate_call_per_request(seed: int, *, leader_change: bool = False) -> Outcome:
    """Call the leader for each request; refuse requests while there is no leader."""
    outcome = Outcome()
    level = BURST
    updated_s = 0.0
    for at_s, _ in make_arrivals(seed):
        outcome.requests += 1
        outcome.messages += 1
        outcome.waited_s += ROUND_TRIP_S
        level = min(BURST, level + (at_s - updated_s) * RATE_PER_S)
        updated_s = at_s
        if leader_change and _is_leaderless(at_s):
            outcome.refused += 1
        elif level < REQUEST_COST:
            outcome.refused += 1
        else:
            level -= REQUEST_COST
    return outcome


def _is_leaderless(at_s: float) -> bool:
    return DURATION_S / 2 <= at_s < DURATION_S / 2 + LEADERLESS_S


class CreditSimulation:
    """Entry hosts with credit pools and a leader with a credit ledger."""

    def __init__(self, *, leader_change: bool) -> None:
        self.limit = Limit(RATE_PER_S, BURST)
        self.ledger = CreditLedger({}, 0.0)
        self.pools = [CreditPool() for _ in TRAFFIC_SHARES]
        self.sequences = [0] * len(TRAFFIC_SHARES)
        # Committed reservations by workspace, from which a new leader starts.
        self.committed = {}  # type: ignore[var-annotated]
        self.leader_change = leader_change
        self.has_changed_leader = False
        self.outcome = Outcome()

    def exchange(self, entry: int, now_s: float) -> None:
        """Report an entry host's use to the leader and add the granted credit.

        Do nothing while there is no leader. The first exchange after a leader change
        starts a new ledger from the committed reservations.
        """
        if self.leader_change and _is_leaderless(now_s):
            return
        if (
            self.leader_change
            and not self.has_changed_leader
            and now_s > DURATION_S / 2
        ):
            self.has_changed_leader = True
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
        """Simulate all requests of a seed."""
        next_report_s = 0.0
        for at_s, entry in make_arrivals(seed):
            while next_report_s < at_s:
                for reporter in range(len(TRAFFIC_SHARES)):
                    self.exchange(reporter, next_report_s)
                next_report_s += REPORT_INTERVAL_S
            self.outcome.requests += 1
            if self.pools[entry].spend(WORKSPACE, REQUEST_COST, BURST, at_s):
                continue
            self.outcome.waited_s += ROUND_TRIP_S
            self.exchange(entry, at_s)
            if not self.pools[entry].retry_spend(WORKSPACE, REQUEST_COST, at_s):
                self.outcome.refused += 1
        return self.outcome


def simulate_credit(seed: int, *, leader_change: bool = False) -> Outcome:
    """Grant credit to the entry hosts in advance, as the system does."""
    return CreditSimulation(leader_change=leader_change).run(seed)


def _mean(
    simulate: Callable[[int], Outcome], metric: Callable[[Outcome], float]
) -> float:
    seeds = range(10)
    return sum(metric(simulate(seed)) for seed in seeds) / len(seeds)


def measure() -> Sequence[Row]:
    """Compare all methods, as means over ten seeds."""

    def refused(outcome: Outcome) -> float:
        return 100 * outcome.refused / outcome.requests

    def messages(outcome: Outcome) -> float:
        return outcome.messages / outcome.requests

    def waited_ms(outcome: Outcome) -> float:
        return 1000 * outcome.waited_s / outcome.requests

    def credit_with_leader_change(seed: int) -> Outcome:
        return simulate_credit(seed, leader_change=True)

    def calls_with_leader_change(seed: int) -> Outcome:
        return simulate_call_per_request(seed, leader_change=True)

    split = "static split"
    each = "call for each"
    rows = []
    credit_refused = _mean(simulate_credit, refused)
    title = "limits.wrongly_refused.skewed"
    rows.append(
        Row(title, credit_refused, "%", split, _mean(simulate_static_split, refused))
    )
    rows.append(
        Row(title, credit_refused, "%", each, _mean(simulate_call_per_request, refused))
    )
    title = "limits.wrongly_refused.leader_change"
    baseline = _mean(calls_with_leader_change, refused)
    rows.append(
        Row(title, _mean(credit_with_leader_change, refused), "%", each, baseline)
    )
    title = "limits.messages_by_request"
    baseline = _mean(simulate_call_per_request, messages)
    rows.append(
        Row(title, _mean(simulate_credit, messages), "messages", each, baseline)
    )
    title = "limits.added_wait"
    baseline = _mean(simulate_call_per_request, waited_ms)
    rows.append(Row(title, _mean(simulate_credit, waited_ms), "ms", each, baseline))
    return rows


if __name__ == "__main__":
    write_rows(measure(), "limits.json")
