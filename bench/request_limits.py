"""Ways to keep a request limit of one backend server with many hosts.

Callers arrive at three times the limit for a minute, at host k in proportion to 1/k. At
half time there is no leader for ELECTION_S. For each way: the requests sent, as a share
of what one undivided bucket sends, and the most in any four seconds, as a share of what
the users' rule allows. Usage: ``python bench/request_limits.py``.
"""

import collections
import random
from collections.abc import Callable

from damaskvalve_gateway._grant_ledger import (
    DEPTH_S,
    MIN_DEPTH,
    GrantClaim,
    GrantLedger,
)
from damaskvalve_gateway._quota import TokenBucket
from damaskvalve_gateway.tests.limit_rule import allowed_requests, most_in_window

LENGTH_S = 60.0
ELECTION_AT_S, ELECTION_S = 30.0, 1.5
SEEDS = 10
SERVER = ("i-1", 1)

#: Decides whether a host may send at a moment: (host, now_s) -> bool.
Admit = Callable[[int, float], bool]


def is_election(now_s: float) -> bool:
    return ELECTION_AT_S <= now_s < ELECTION_AT_S + ELECTION_S


def take_one(
    bucket: TokenBucket, rate_per_s: float, depth: float, now_s: float
) -> bool:
    """Take a whole token of a bucket, or nothing."""
    bucket.refill(rate_per_s, depth, now_s)
    if bucket.level < 1.0:
        return False
    bucket.level -= 1.0
    return True


def undivided(hosts: int, limit_per_s: float) -> Admit:
    """One bucket that every host reaches at once, without an election."""
    bucket = TokenBucket(0.0, 0.0)
    depth = MIN_DEPTH + DEPTH_S * limit_per_s
    return lambda host, now_s: take_one(bucket, limit_per_s, depth, now_s)


def each_alone(hosts: int, limit_per_s: float) -> Admit:
    """Each host keeps the whole limit."""
    admits = [undivided(1, limit_per_s) for _ in range(hosts)]
    return lambda host, now_s: admits[host](host, now_s)


def even_split(hosts: int, limit_per_s: float) -> Admit:
    """Each host has an equal part of the rate, and room for one request."""
    part_per_s = limit_per_s / hosts
    buckets = [TokenBucket(0.0, 0.0) for _ in range(hosts)]

    depth = max(1.0, DEPTH_S * part_per_s)
    return lambda host, now_s: take_one(buckets[host], part_per_s, depth, now_s)


def leader_grants(hosts: int, limit_per_s: float) -> Admit:
    """The leader grants each send; refused hosts ask again when they were told to."""
    ledgers = [GrantLedger(0.0)]
    next_ask_s: dict[int, float] = collections.defaultdict(float)

    def admit(host: int, now_s: float) -> bool:
        if is_election(now_s):
            ledgers[0] = GrantLedger(ELECTION_AT_S + ELECTION_S)
            return False
        if now_s < next_ask_s[host]:
            return False
        claim = GrantClaim(str(host), 0, "w", 1)
        count, wait_s = ledgers[0].take(SERVER, limit_per_s, claim, now_s)
        next_ask_s[host] = now_s + wait_s
        return count > 0

    return admit


def sent_times(
    make: Callable[[int, float], Admit], hosts: int, limit_per_s: float, seed: int
) -> list[float]:
    """Return when requests were sent."""
    rng = random.Random(seed)
    weights = [1.0 / (number + 1) for number in range(hosts)]
    admit, now_s, times_s = make(hosts, limit_per_s), 0.0, []
    while True:
        now_s += rng.expovariate(3.0 * limit_per_s)
        if now_s >= LENGTH_S:
            return times_s
        host = rng.choices(range(hosts), weights)[0]
        if admit(host, now_s):
            times_s.append(now_s)


def main() -> None:
    ways = (each_alone, even_split, leader_grants)
    print("| hosts | limit | " + " | ".join(way.__name__ for way in ways) + " |")
    print("| --- | --- |" + " --- |" * len(ways))
    for hosts in (3, 70, 410):
        for limit_per_s in (1.0, 10.0, 100.0):
            allowed = allowed_requests(limit_per_s)
            cells = []
            for way in ways:
                sent = whole = most = 0
                for seed in range(SEEDS):
                    times_s = sent_times(way, hosts, limit_per_s, seed)
                    sent += len(times_s)
                    whole += len(sent_times(undivided, hosts, limit_per_s, seed))
                    most = max(most, most_in_window(times_s))
                cells.append(f"{sent / whole:.2f}; {most / allowed:.2f}")
            print(f"| {hosts} | {limit_per_s:g} | " + " | ".join(cells) + " |")


if __name__ == "__main__":
    main()
