"""Chooses the backend server for a request.

Rendezvous hashing over adapter and version gives each adapter a short list of
homes that all entry hosts agree on without talking. Among the homes and the
backend servers that hold the adapter already, the one with the shortest expected
wait is taken; a load counts as the time that a load takes.
"""

import functools
from collections.abc import Collection, Mapping, Sequence

import xxhash

from damaskvalve_core.messages import BackendReport

HOMES = 2
# What a load adds to the wait of the request that asks for it.
LOAD_WAIT_S = 1.5
# What one request that is ahead adds to the wait, over its share of the batch.
SERVICE_S = 0.4
OTHER_DATA_CENTRE_S = 0.003
# A home takes work without question up to this multiple of the mean load.
LOAD_BOUND = 1.25
# Below this load a home is never passed over.
QUIET_LOAD = 0.5
MAX_CACHED_HOMES = 8_192
MAX_CACHED_HASHES = 4_096
_MIX = 0x9E3779B97F4A7C15
_MASK = 0xFFFFFFFFFFFFFFFF


@functools.lru_cache(maxsize=MAX_CACHED_HASHES)
def _name_hash(name: str) -> int:
    return xxhash.xxh64_intdigest(name.encode())


def _best_positions(
    adapter: str, name_hashes: Sequence[int], count: int
) -> Sequence[int]:
    """Return the positions of the highest rendezvous weights, best first."""
    adapter_hash = xxhash.xxh64_intdigest(adapter.encode())
    weights = [(item ^ adapter_hash) * _MIX & _MASK for item in name_hashes]
    chosen = []
    for _ in range(min(count, len(weights))):
        highest = max(weights)
        position = weights.index(highest)
        chosen.append(position)
        weights[position] = -1
    return chosen


def homes(adapter: str, names: Sequence[str], count: int = HOMES) -> Sequence[str]:
    """Return the backend servers of the highest weight, best first."""
    hashes = [_name_hash(name) for name in names]
    return [names[position] for position in _best_positions(adapter, hashes, count)]


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


class Placement:
    """What routing needs of one set of reports, made once and used often.

    A decision looks at the homes and the holders of one adapter only, so its
    cost grows neither with the backend servers nor with the adapters.
    """

    def __init__(self, reports: Sequence[BackendReport], data_centre: str) -> None:
        self._data_centre = data_centre
        self._by_name = {item.backend_server: item for item in reports}
        self._names = sorted(self._by_name)
        self._name_hashes = [_name_hash(name) for name in self._names]
        self._homes: dict[str, Sequence[str]] = {}
        self._holders: dict[str, list[str]] = {}
        for item in reports:
            for adapter in item.resident or ():
                self._holders.setdefault(adapter, []).append(item.backend_server)
        loads = [_reported_load(item) for item in reports]
        self._mean_load = sum(loads) / max(1, len(loads))

    def choose(
        self,
        adapter: str,
        in_flight: Mapping[str, int],
        excluded: Collection[str] = (),
    ) -> BackendReport | None:
        """Return the backend server for a request, or None if there is none."""
        if not adapter:
            names = [name for name in self._names if name not in excluded]
            candidates = [self._candidate(name, in_flight, True) for name in names]
            return self._best(candidates)
        home_names = self._homes_of(adapter, excluded)
        holders = self._holders.get(adapter, ())
        candidates = [
            self._candidate(name, in_flight, name in holders) for name in home_names
        ]
        candidates.extend(
            self._candidate(name, in_flight, True)
            for name in holders
            if name not in home_names and name not in excluded
        )
        if candidates and self._is_quiet(candidates[0], in_flight):
            return candidates[0].report
        return self._best(candidates)

    def _homes_of(self, adapter: str, excluded: Collection[str]) -> Sequence[str]:
        if excluded:
            names = [name for name in self._names if name not in excluded]
            return homes(adapter, names)
        known = self._homes.get(adapter)
        if known is None:
            if len(self._homes) >= MAX_CACHED_HOMES:
                self._homes.clear()
            positions = _best_positions(adapter, self._name_hashes, HOMES)
            known = self._homes[adapter] = [self._names[item] for item in positions]
        return known

    def keep_homes_of(self, before: "Placement") -> None:
        """Take over the cached homes if the backend servers are the same."""
        if before._names == self._names:
            self._homes = before._homes

    def _candidate(
        self, name: str, in_flight: Mapping[str, int], is_resident: bool
    ) -> Candidate:
        return Candidate(self._by_name[name], in_flight.get(name, 0), is_resident)

    def _is_quiet(self, first: Candidate, in_flight: Mapping[str, int]) -> bool:
        """Return whether the first home holds the adapter and is not overloaded."""
        if not first.is_resident:
            return False
        return first.load() <= max(LOAD_BOUND * self._mean_load, QUIET_LOAD)

    def _best(self, candidates: Sequence[Candidate]) -> BackendReport | None:
        if not candidates:
            return None
        return min(candidates, key=lambda item: _order(item, self._data_centre)).report


def choose(
    adapter: str,
    reports: Sequence[BackendReport],
    in_flight: Mapping[str, int],
    data_centre: str,
    excluded: Collection[str] = (),
) -> BackendReport | None:
    """Return the backend server for one request out of fresh reports."""
    return Placement(reports, data_centre).choose(adapter, in_flight, excluded)


def _reported_load(report: BackendReport) -> float:
    load: float = (report.queued + report.running) / max(1, report.max_running)
    return load


def _order(candidate: Candidate, data_centre: str) -> tuple[float, str]:
    name = candidate.report.backend_server
    return expected_wait_s(candidate, data_centre), name
