"""Chooses the backend server for a request.

Rendezvous hashing over adapter and version gives each adapter a short list of
homes that all entry hosts agree on without talking. Among the homes and the
backend servers that hold the adapter already, the one with the shortest expected
wait is taken; a load counts as the time that a load takes.
"""

from collections.abc import Collection, Mapping, Sequence

import xxhash

from damaskvalve_core.messages import BackendReport

HOMES = 2
# What a load adds to the wait of the request that asks for it.
LOAD_WAIT_S = 0.5
# What one request that is ahead adds to the wait, over its share of the batch.
SERVICE_S = 0.4
OTHER_DATA_CENTRE_S = 0.003
# A home takes work without question up to this multiple of the mean load.
LOAD_BOUND = 1.25


def rank(adapter: str, backend_server: str) -> int:
    """Return the rendezvous weight of a backend server for an adapter."""
    name = f"{adapter}\0{backend_server}".encode()
    return xxhash.xxh64_intdigest(name)


def homes(adapter: str, names: Sequence[str], count: int = HOMES) -> Sequence[str]:
    """Return the backend servers of the highest weight, best first."""
    if count >= len(names):
        return sorted(names, key=lambda name: -rank(adapter, name))
    ranked = [(rank(adapter, name), name) for name in names]
    chosen = []
    for _ in range(count):
        best = max(ranked)
        ranked.remove(best)
        chosen.append(best[1])
    return chosen


class Candidate:
    """A backend server as an entry host sees it now."""

    __slots__ = ("report", "in_flight", "is_resident")

    def __init__(
        self, report: BackendReport, in_flight: int, is_resident: bool
    ) -> None:
        self.report = report
        self.in_flight = in_flight
        self.is_resident = is_resident

    def load(self) -> float:
        """Return requests ahead of a new one, relative to the batch size.

        The report lags; what this host itself has in flight does not.
        """
        reported = self.report.queued + self.report.running
        return max(reported, self.in_flight) / max(1, self.report.max_running)


def expected_wait_s(candidate: Candidate, data_centre: str) -> float:
    """Return how long a request would wait at a candidate."""
    wait_s = candidate.load() * SERVICE_S
    if not candidate.is_resident:
        wait_s += LOAD_WAIT_S
    if candidate.report.data_centre != data_centre:
        wait_s += OTHER_DATA_CENTRE_S
    return wait_s


def choose(
    adapter: str,
    backends: Sequence[BackendReport],
    in_flight: Mapping[str, int],
    data_centre: str,
    excluded: Collection[str] = (),
) -> BackendReport | None:
    """Return the backend server for a request, or None if there is none."""
    usable = [item for item in backends if item.backend_server not in excluded]
    if not usable:
        return None
    if not adapter:
        candidates = [_candidate(item, in_flight, True) for item in usable]
        return min(candidates, key=lambda item: _order(item, data_centre)).report
    by_name = {item.backend_server: item for item in usable}
    home_names = homes(adapter, list(by_name))
    chosen = [
        _candidate(by_name[name], in_flight, adapter in by_name[name].resident)
        for name in home_names
    ]
    chosen.extend(
        _candidate(item, in_flight, True)
        for item in usable
        if adapter in item.resident and item.backend_server not in home_names
    )
    first = chosen[0]
    if first.is_resident and first.load() <= LOAD_BOUND * _mean_load(usable, in_flight):
        return first.report
    return min(chosen, key=lambda item: _order(item, data_centre)).report


def _candidate(
    report: BackendReport, in_flight: Mapping[str, int], is_resident: bool
) -> Candidate:
    return Candidate(report, in_flight.get(report.backend_server, 0), is_resident)


def _mean_load(usable: Sequence[BackendReport], in_flight: Mapping[str, int]) -> float:
    loads = [_candidate(item, in_flight, True).load() for item in usable]
    return sum(loads) / len(loads)


def _order(candidate: Candidate, data_centre: str) -> tuple[float, str]:
    name = candidate.report.backend_server
    return expected_wait_s(candidate, data_centre), name
