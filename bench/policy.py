"""Compares the project's scheduling and placement with simpler policies.

Runs the project's decision functions in the simulation of :mod:`policy_simulation` for
each deployment, number of slots, scene, policy and seed. The simulation uses neither
the network nor other processes. Also measures the time of one routing decision.
"""

import argparse
import random
import statistics
import time
from collections.abc import Callable, Sequence

from policy_simulation import Arrival, Deployment, Policy, Simulation, SimulationResult
from results import Row, write_rows

from damaskvalve import Placement, homes
from damaskvalve_core.messages import BackendReport

ADAPTERS = 600
# The share of requests for an adapter of popularity rank r falls as r ** -SKEW.
SKEW = 1.8
DURATION_S = 300.0
MEAN_TOKENS = 120
# The share of the requests that each workspace sends.
WORKSPACES = {"a": 0.4, "b": 0.25, "c": 0.2, "d": 0.1, "e": 0.05}
# The fleets of the two users, Formosa Trust and Cantares Unidos.
TRUST = Deployment("trust", 5, 2.0, 6.0, by_requests=False)
CANTARES = Deployment("cantares", 6, 3.5, 8.0, by_requests=True)
SCENES = ("steady", "shift", "cold_one", "cold_all", "failed_loads", "greedy", "lost")


def _choose_randomly(simulation: Simulation, adapter: str) -> str | None:
    names = list(simulation.reports)
    return simulation.rng.choice(names) if names else None


def _choose_least_loaded(simulation: Simulation, adapter: str) -> str | None:
    names = list(simulation.reports)
    if not names:
        return None
    return min(names, key=lambda name: (simulation.in_flight[name], name))


def _choose_by_hash(simulation: Simulation, adapter: str) -> str | None:
    names = sorted(simulation.reports)
    return homes(adapter, names, 1)[0] if names else None


def _choose_by_placement(simulation: Simulation, adapter: str) -> str | None:
    chosen = simulation.placement.choose(adapter, simulation.in_flight)
    return chosen.backend_server if chosen else None


PRODUCT_POLICY = Policy(
    "damaskvalve", _choose_by_placement, lru=False, fair=True, fleet_fair=True
)
BASELINES = (
    Policy("random+lru", _choose_randomly, lru=True, fair=False, fleet_fair=False),
    Policy(
        "least-loaded+lru", _choose_least_loaded, lru=True, fair=False, fleet_fair=False
    ),
    Policy("hashing+lru", _choose_by_hash, lru=True, fair=False, fleet_fair=False),
    Policy("agent-fair", _choose_by_placement, lru=False, fair=True, fleet_fair=False),
)


def make_arrivals(deployment: Deployment, scene: str, seed: int) -> Sequence[Arrival]:
    """Return the requests of one run in order of arrival."""
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
            if at_s > DURATION_S:
                break
            rank = _draw_rank(rng)
            if scene == "shift" and at_s > DURATION_S / 2:
                # Other adapters become the popular ones.
                rank = (rank + 37) % ADAPTERS
            tokens = max(5, int(rng.expovariate(1 / MEAN_TOKENS)))
            adapter = f"{name}{order[rank]}@1"
            arrivals.append(Arrival(at_s, name, adapter, tokens))
    return sorted(arrivals, key=lambda item: item.at_s)


def _draw_rank(rng: random.Random) -> int:
    """Draw an adapter's popularity rank from a truncated Pareto distribution."""
    while True:
        rank = int(rng.paretovariate(SKEW - 1)) - 1
        if rank < ADAPTERS:
            return rank


def _schedule_faults(simulation: Simulation, scene: str) -> None:
    middle_s = DURATION_S / 2
    if scene == "cold_one":
        simulation.schedule(middle_s, lambda: simulation.restart("e0"))
    elif scene == "cold_all":
        for name in simulation.agents:
            simulation.schedule(middle_s, lambda item=name: simulation.restart(item))
    elif scene == "lost":
        simulation.schedule(middle_s, lambda: simulation.remove_replica("e0"))
    elif scene == "failed_loads":
        simulation.load_failure_rate = 0.1


def simulate(
    deployment: Deployment, policy: Policy, scene: str, slots: int, seed: int
) -> SimulationResult:
    """Simulate one scene with one policy."""
    simulation = Simulation(deployment, policy, slots, seed)
    _schedule_faults(simulation, scene)
    # The last requests have 60 s to finish.
    return simulation.run(make_arrivals(deployment, scene, seed), DURATION_S + 60)


def offline_stall_s(arrivals: Sequence[Arrival], capacity: int) -> float:
    """Return the total load time of one cache with all slots and optimal eviction.

    The cache evicts the adapter whose next use is latest, so that it has a lower bound
    of the loads.
    """
    future_uses_s: dict[str, list[float]] = {}
    for arrival in reversed(arrivals):
        future_uses_s.setdefault(arrival.adapter, []).append(arrival.at_s)
    cached: set[str] = set()
    misses = 0
    for arrival in arrivals:
        future_uses_s[arrival.adapter].pop()
        if arrival.adapter in cached:
            continue
        misses += 1
        if len(cached) >= capacity:
            cached.discard(
                max(cached, key=lambda name: _next_use_s(future_uses_s, name))
            )
        cached.add(arrival.adapter)
    # 0.25 s for each load, as LOAD_TIME_S of the simulation.
    return misses * 0.25


def _next_use_s(future_uses_s: dict[str, list[float]], name: str) -> float:
    times = future_uses_s[name]
    return times[-1] if times else float("inf")


def worst_service_share(result: SimulationResult) -> float:
    """Return the lowest ratio of delivered to entitled service among the workspaces.

    The entitled service is a max-min fair division of all delivered service.
    """
    remaining = sum(result.delivered.values())
    entitled: dict[str, float] = {}
    waiting = dict(result.demanded)
    while waiting:
        equal_share = remaining / len(waiting)
        satisfied = {
            name: units for name, units in waiting.items() if units <= equal_share
        }
        if not satisfied:
            entitled.update(dict.fromkeys(waiting, equal_share))
            break
        for name, units in satisfied.items():
            entitled[name] = units
            remaining -= units
            del waiting[name]
    return min(
        result.delivered.get(name, 0.0) / units for name, units in entitled.items()
    )


def _quantile(values: Sequence[float], fraction: float) -> float:
    ranked = sorted(values)
    return ranked[int(fraction * (len(ranked) - 1))] if ranked else 0.0


class Summary:
    """Results of one policy in one scene over all seeds.

    ``worst_share`` is the minimum over the seeds; all others are means over the seeds.
    ``stall_s_per_1000`` is per 1000 requests. ``waited_share``, ``refused`` and
    ``loads`` are per request.
    """

    def __init__(self, runs: Sequence[SimulationResult]) -> None:
        mean = statistics.mean
        self.stall_s_per_1000 = mean(
            1000 * item.stall_s / item.requests for item in runs
        )
        self.waited_share = mean(item.stalled / item.requests for item in runs)
        self.mean_batch = mean(item.running_s / max(item.busy_s, 1e-9) for item in runs)
        self.worst_share = min(worst_service_share(item) for item in runs)
        self.refused = mean(item.refused / item.requests for item in runs)
        self.p95_s = mean(_quantile(item.latencies_s, 0.95) for item in runs)
        self.loads = mean(item.loads / item.requests for item in runs)
        self.other_workspaces_p95_s = mean(
            _quantile(
                [
                    took_s
                    for name, times in item.latencies_by_workspace_s.items()
                    if name != "a"
                    for took_s in times
                ],
                0.95,
            )
            for item in runs
        )


FIELDS: Sequence[tuple[str, str, Callable[[Summary], float]]] = (
    ("stall_s_per_1000", "s", lambda item: item.stall_s_per_1000),
    ("waited_on_load", "share", lambda item: item.waited_share),
    ("mean_batch", "requests", lambda item: item.mean_batch),
    ("worst_workspace", "of entitled", lambda item: item.worst_share),
    ("refused", "share", lambda item: item.refused),
    ("p95", "s", lambda item: item.p95_s),
    ("others_p95", "s", lambda item: item.other_workspaces_p95_s),
)


def compare(
    deployment: Deployment, scene: str, slots: int, seeds: Sequence[int]
) -> Sequence[Row]:
    """Return the rows of one scene: one for each metric and baseline."""
    summaries = {
        policy.name: Summary(
            [simulate(deployment, policy, scene, slots, seed) for seed in seeds]
        )
        for policy in (PRODUCT_POLICY, *BASELINES)
    }
    rows = []
    product = summaries[PRODUCT_POLICY.name]
    for field, unit, metric in FIELDS:
        title = f"policy.{deployment.name}.{slots}_slots.{scene}.{field}"
        for baseline in BASELINES:
            baseline_value = metric(summaries[baseline.name])
            rows.append(
                Row(title, metric(product), unit, baseline.name, baseline_value)
            )
    capacity = slots * deployment.replicas
    bound = statistics.mean(
        1000 * offline_stall_s(arrivals, capacity) / len(arrivals)
        for arrivals in (make_arrivals(deployment, scene, seed) for seed in seeds)
    )
    title = f"policy.{deployment.name}.{slots}_slots.{scene}.stall_s_per_1000"
    rows.append(Row(title, product.stall_s_per_1000, "s", "offline bound", bound))
    return rows


def measure_decision_cost() -> Sequence[Row]:
    """Measure the time of a routing decision for several fleet sizes."""
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
    """Run the scenes, print the table and write the rows."""
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
    rows.extend(measure_decision_cost())
    write_rows(rows, "policy.json")


if __name__ == "__main__":
    main()
