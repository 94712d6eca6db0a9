"""Compares the decisions with simpler policies, scene by scene.

Drives the project's own decision functions with the fakes of
:mod:`policy_world`: seeded, no network and no processes.
"""

import argparse
import random
import statistics
import time
from collections.abc import Callable, Sequence

from figures import Row, write_rows
from policy_world import Arrival, Deployment, Figures, Policy, World

from damaskvalve import Placement, homes
from damaskvalve_core.messages import BackendReport

ADAPTERS = 600
SKEW = 1.8
LENGTH_S = 300.0
MEAN_TOKENS = 120
WORKSPACES = {"a": 0.4, "b": 0.25, "c": 0.2, "d": 0.1, "e": 0.05}
TRUST = Deployment("trust", 5, 2.0, 6.0, by_requests=False)
CANTARES = Deployment("cantares", 6, 3.5, 8.0, by_requests=True)
SCENES = ("steady", "shift", "cold_one", "cold_all", "failed_loads", "greedy", "lost")


def _random(world: World, adapter: str) -> str | None:
    names = list(world.reports)
    return world.rng.choice(names) if names else None


def _least_loaded(world: World, adapter: str) -> str | None:
    names = list(world.reports)
    if not names:
        return None
    return min(names, key=lambda name: (world.in_flight[name], name))


def _hashed(world: World, adapter: str) -> str | None:
    names = sorted(world.reports)
    return homes(adapter, names, 1)[0] if names else None


def _placed(world: World, adapter: str) -> str | None:
    chosen = world.placement.choose(adapter, world.in_flight)
    return chosen.backend_server if chosen else None


OURS = Policy("damaskvalve", _placed, lru=False, fair=True, fleet_fair=True)
BASELINES = (
    Policy("random+lru", _random, lru=True, fair=False, fleet_fair=False),
    Policy("least-loaded+lru", _least_loaded, lru=True, fair=False, fleet_fair=False),
    Policy("hashing+lru", _hashed, lru=True, fair=False, fleet_fair=False),
    Policy("agent-fair", _placed, lru=False, fair=True, fleet_fair=False),
)


def make_arrivals(deployment: Deployment, scene: str, seed: int) -> Sequence[Arrival]:
    """Return the requests of one run."""
    rng = random.Random(seed)
    order = list(range(ADAPTERS))
    rng.shuffle(order)
    names = list(WORKSPACES)
    arrivals = []
    for name in names:
        rate = deployment.requests_per_s * WORKSPACES[name]
        if scene == "greedy" and name == "a":
            rate *= 5
        at_s = 0.0
        while True:
            at_s += rng.expovariate(rate)
            if at_s > LENGTH_S:
                break
            rank = _rank(rng)
            if scene == "shift" and at_s > LENGTH_S / 2:
                rank = (rank + 37) % ADAPTERS
            tokens = max(5, int(rng.expovariate(1 / MEAN_TOKENS)))
            adapter = f"{name}{order[rank]}@1"
            arrivals.append(Arrival(at_s, name, adapter, tokens))
    return sorted(arrivals, key=lambda item: item.at_s)


def _rank(rng: random.Random) -> int:
    """Return a rank of a Pareto tail, cut at the number of adapters."""
    while True:
        rank = int(rng.paretovariate(SKEW - 1)) - 1
        if rank < ADAPTERS:
            return rank


def _disturb(world: World, scene: str) -> None:
    middle_s = LENGTH_S / 2
    if scene == "cold_one":
        world.at(middle_s, lambda: world.restart("e0"))
    elif scene == "cold_all":
        for name in world.agents:
            world.at(middle_s, lambda item=name: world.restart(item))
    elif scene == "lost":
        world.at(middle_s, lambda: world.lose("e0"))
    elif scene == "failed_loads":
        world.fail_loads = 0.1


def run(
    deployment: Deployment, policy: Policy, scene: str, slots: int, seed: int
) -> Figures:
    """Run one scene with one policy."""
    world = World(deployment, policy, slots, seed)
    _disturb(world, scene)
    return world.run(make_arrivals(deployment, scene, seed), LENGTH_S + 60)


def offline_stalls(arrivals: Sequence[Arrival], capacity: int) -> float:
    """Return stall seconds of one pooled cache that knows the future."""
    following: dict[str, list[float]] = {}
    for arrival in reversed(arrivals):
        following.setdefault(arrival.adapter, []).append(arrival.at_s)
    held: set[str] = set()
    misses = 0
    for arrival in arrivals:
        following[arrival.adapter].pop()
        if arrival.adapter in held:
            continue
        misses += 1
        if len(held) >= capacity:
            held.discard(max(held, key=lambda name: _next_use(following, name)))
        held.add(arrival.adapter)
    return misses * 0.25


def _next_use(following: dict[str, list[float]], name: str) -> float:
    times = following[name]
    return times[-1] if times else float("inf")


def worst_share(figures: Figures) -> float:
    """Return the least delivered over entitled service of any workspace.

    Entitled is what a max-min division of all delivered service gives.
    """
    left = sum(figures.delivered.values())
    entitled: dict[str, float] = {}
    waiting = dict(figures.demanded)
    while waiting:
        part = left / len(waiting)
        small = {name: units for name, units in waiting.items() if units <= part}
        if not small:
            entitled.update(dict.fromkeys(waiting, part))
            break
        for name, units in small.items():
            entitled[name] = units
            left -= units
            del waiting[name]
    return min(
        figures.delivered.get(name, 0.0) / units for name, units in entitled.items()
    )


def _quantile(values: Sequence[float], part: float) -> float:
    ranked = sorted(values)
    return ranked[int(part * (len(ranked) - 1))] if ranked else 0.0


class Summary:
    """Means of one policy in one scene over all seeds."""

    def __init__(self, runs: Sequence[Figures]) -> None:
        mean = statistics.mean
        self.stall_s = mean(1000 * item.stall_s / item.requests for item in runs)
        self.waited = mean(item.stalled / item.requests for item in runs)
        self.batch = mean(item.running_s / max(item.busy_s, 1e-9) for item in runs)
        self.worst = min(worst_share(item) for item in runs)
        self.refused = mean(item.refused / item.requests for item in runs)
        self.p95_s = mean(_quantile(item.latencies_s, 0.95) for item in runs)
        self.loads = mean(item.loads / item.requests for item in runs)
        self.others_p95_s = mean(
            _quantile(
                [
                    took_s
                    for name, times in item.by_workspace.items()
                    if name != "a"
                    for took_s in times
                ],
                0.95,
            )
            for item in runs
        )


FIELDS: Sequence[tuple[str, str, Callable[[Summary], float]]] = (
    ("stall_s_per_1000", "s", lambda item: item.stall_s),
    ("waited_on_load", "share", lambda item: item.waited),
    ("mean_batch", "requests", lambda item: item.batch),
    ("worst_workspace", "of entitled", lambda item: item.worst),
    ("refused", "share", lambda item: item.refused),
    ("p95", "s", lambda item: item.p95_s),
    ("others_p95", "s", lambda item: item.others_p95_s),
)


def compare(
    deployment: Deployment, scene: str, slots: int, seeds: Sequence[int]
) -> Sequence[Row]:
    """Return the rows of one scene, each beside every baseline."""
    summaries = {
        policy.name: Summary(
            [run(deployment, policy, scene, slots, seed) for seed in seeds]
        )
        for policy in (OURS, *BASELINES)
    }
    rows = []
    ours = summaries[OURS.name]
    for field, unit, value in FIELDS:
        title = f"policy.{deployment.name}.{slots}_slots.{scene}.{field}"
        for baseline in BASELINES:
            against = value(summaries[baseline.name])
            rows.append(Row(title, value(ours), unit, baseline.name, against))
    capacity = slots * deployment.replicas
    bound = statistics.mean(
        1000 * offline_stalls(arrivals, capacity) / len(arrivals)
        for arrivals in (make_arrivals(deployment, scene, seed) for seed in seeds)
    )
    title = f"policy.{deployment.name}.{slots}_slots.{scene}.stall_s_per_1000"
    rows.append(Row(title, ours.stall_s, "s", "offline bound", bound))
    return rows


def decision_cost() -> Sequence[Row]:
    """Measure one routing decision against replicas and adapters."""
    rows = []
    for replicas, adapters in ((10, 3_000), (100, 3_000), (600, 3_000), (600, 100_000)):
        reports = [
            BackendReport(
                backend_server=f"e{n}",
                data_centre="dc",
                queued=n % 5,
                running=n % 8,
                max_running=8,
                resident=[f"a{(n * 8 + k) % adapters}" for k in range(8)],
            )
            for n in range(replicas)
        ]
        placement = Placement(reports, "dc")
        count = 20_000
        names = [f"a{number * 7 % adapters}" for number in range(count)]
        started_s = time.perf_counter()
        for name in names:
            placement.choose(name, {})
        cost_us = (time.perf_counter() - started_s) / count * 1e6
        title = f"policy.decision_cost.{replicas}_replicas.{adapters}_adapters"
        rows.append(Row(title, cost_us, "us", "goal at 600 replicas", 100))
    return rows


def main() -> None:
    """Run the scenes and print the table."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--full", action="store_true", help="every size, ten seeds")
    parser.add_argument("--scenes", default=",".join(SCENES))
    parser.add_argument("--seeds", type=int, default=2)
    arguments = parser.parse_args()
    seeds = range(10 if arguments.full else arguments.seeds)
    rows = []
    for deployment in (TRUST, CANTARES):
        for slots in (4, 8, 16) if arguments.full else (8,):
            for scene in arguments.scenes.split(","):
                rows.extend(compare(deployment, scene, slots, seeds))
    rows.extend(decision_cost())
    write_rows(rows, "policy.json")


if __name__ == "__main__":
    main()
