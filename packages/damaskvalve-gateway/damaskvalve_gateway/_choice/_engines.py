"""The order in which engines are asked for a request.

The expected time to the first event decides, but a load from the store is dear for all
callers. So engines with the adapter resident come first unless one of them is known to
start the request too late, next those with a copy, next those that load it. An adapter
whose prompts would take too much of one engine's time is shared by several.
"""

from collections.abc import Mapping, Sequence

from damaskvalve_gateway._backend import ABSENT, CACHED, RESIDENT, Backend
from damaskvalve_gateway._choice._ranking import is_failing, score
from damaskvalve_gateway._choice._server_load import ServerLoads

# How long the adapter takes to become resident, by residency.
LOAD_S: Mapping[int, float] = {RESIDENT: 0.0, CACHED: 0.03, ABSENT: 0.3}
# Expected times that differ by less count as equal.
NEAR_S = 0.1
# A request that is late anywhere takes a load from the store only if that makes its
# first event come earlier by this much.
LATE_LOAD_S = 1.0
# Rank after all residencies: engines that are known to start the request too late.
LATE = ABSENT + 1


class EngineOrder:
    """The engines to ask for one request."""

    __slots__ = ("ranked", "timely", "waits_s", "usual")

    def __init__(
        self,
        ranked: Sequence[Backend],
        timely: Sequence[Backend],
        waits_s: Mapping[Backend, float],
        usual: Backend | None,
    ) -> None:
        # The first to ask comes first.
        self.ranked = ranked
        # Those of them that are not known to start the request too late.
        self.timely = timely
        # The expected time until each of them can begin, beyond that of an idle one.
        self.waits_s = waits_s
        # The first engine by residency and hash alone; None if there is no engine.
        self.usual = usual


def _by_residency(backend: Backend, adapter: str, now_s: float) -> tuple[int, int, int]:
    return (
        is_failing(backend, now_s),
        backend.residency(adapter, now_s),
        -score(adapter, backend.announcement.address),
    )


def _shared(keys: Mapping[Backend, tuple[int, ...]], homes: int) -> frozenset[Backend]:
    """Return the engines that share an adapter; none if one suffices.

    ``keys`` holds whether an engine fails, its residency and its hash.
    """
    if homes <= 1:
        return frozenset()
    by_hash = sorted(keys, key=lambda item: (keys[item][0], keys[item][2]))
    return frozenset(by_hash[:homes])


def order_engines(
    backends: Sequence[Backend], adapter: str, now_s: float
) -> Sequence[Backend]:
    """Return the engines to try for ``model/adapter``, the cheapest to use first.

    Engines with the adapter resident come first, then those that have a copy, because a
    load has to wait for the store. Among equals, rendezvous hashing over addresses
    decides, so that all hosts agree without communication and a lost engine moves only
    its own adapters. Failing engines come last.
    """
    return sorted(backends, key=lambda item: _by_residency(item, adapter, now_s))


def plan_engines(
    backends: Sequence[Backend],
    adapter: str,
    request_id: str,
    loads: ServerLoads,
    timely_s: float,
    homes: int,
    now_s: float,
) -> EngineOrder:
    """Return the order of engines by what is known of their load.

    ``timely_s`` is the longest wait after which the first event is still on time. With
    nothing known, the order is that of :func:`order_engines`. Idle engines keep its
    order too, so that an adapter has one engine while one suffices. ``homes`` is the
    number of engines that it needs: the first ones by hash, so that all hosts use the
    same ones. Among homes, or busy engines that have the adapter, that are near-equal,
    the request decides, so that hosts do not all follow the same figure to the same
    engine. Where it is to be loaded, the adapter decides: hosts that know different
    figures would load it twice.
    """
    typical_s = loads.typical_first_event_s(backends)
    waits_s = {item: loads.wait_s(item, typical_s, now_s) for item in backends}
    if homes <= 1 and not any(waits_s.values()):
        ranked = order_engines(backends, adapter, now_s)
        return EngineOrder(ranked, ranked, waits_s, ranked[0] if ranked else None)
    keys: dict[Backend, tuple[int, ...]] = {
        item: _by_residency(item, adapter, now_s) for item in backends
    }
    usual = min(keys, key=keys.__getitem__, default=None)
    shared = _shared(keys, homes)
    late: set[Backend] = set()
    for item, (fails, rank, hashed) in list(keys.items()):
        wait_s = waits_s[item]
        # The adapter is loaded while the request waits.
        start_s = max(wait_s, LOAD_S[rank])
        near = int(start_s / NEAR_S)
        spreads = item in shared or (rank == RESIDENT and near > 0)
        if shared:
            rank = RESIDENT if item in shared else max(CACHED, rank)
            near = int(wait_s / NEAR_S)
        if wait_s > timely_s:
            late.add(item)
            dear_s = LATE_LOAD_S if rank == ABSENT else 0.0
            rank, near = LATE, int((start_s + dear_s) / NEAR_S)
        if spreads:
            hashed = -score(request_id, item.announcement.address)
        keys[item] = fails, rank, near, hashed
    ranked = sorted(backends, key=keys.__getitem__)
    return EngineOrder(
        ranked, [item for item in ranked if item not in late], waits_s, usual
    )
