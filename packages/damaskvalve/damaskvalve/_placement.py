"""Choice of the backend server for a request.

Rendezvous hashing over adapter and version gives each adapter a short list of
home backend servers, on which all entry hosts agree without communication. Among
the homes and the backend servers where the adapter is resident, the one with the
shortest expected wait is chosen; an adapter load counts with the time it takes.
"""

import functools
from collections.abc import Collection, Mapping, Sequence

import xxhash

from damaskvalve_core.messages import BackendReport

HOMES_PER_ADAPTER = 2
# Expected wait that an adapter load adds to the request that needs it.
LOAD_WAIT_S = 1.5
# Expected wait that a full batch of requests ahead of a new one adds.
SERVICE_TIME_S = 0.4
# Expected wait that a backend server in another data centre adds.
OTHER_DATA_CENTRE_S = 0.003
# A first home that has the adapter is chosen up to this multiple of the mean load.
HOME_LOAD_FACTOR = 1.25
# Up to this load, a first home that has the adapter is always chosen.
LIGHT_LOAD = 0.5
MAX_CACHED_HOMES = 8_192
MAX_CACHED_HASHES = 4_096
# 2**64 divided by the golden ratio, as a multiplier that mixes the bits of a hash.
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


def homes(
    adapter: str, names: Sequence[str], count: int = HOMES_PER_ADAPTER
) -> Sequence[str]:
    """Return the home backend servers of an adapter, highest weight first."""
    hashes = [_name_hash(name) for name in names]
    return [names[position] for position in _best_positions(adapter, hashes, count)]


class Candidate:
    """A backend server that an entry host may choose for a request."""

    __slots__ = ("report", "in_flight", "is_resident")

    def __init__(
        self, report: BackendReport, in_flight: int, is_resident: bool
    ) -> None:
        self.report = report
        self.in_flight = in_flight
        self.is_resident = is_resident

    def load(self) -> float:
        """Return the requests ahead of a new one, relative to the batch size.

        Reports lag behind, so this host's own requests in flight are a lower bound.
        """
        reported = self.report.queued + self.report.running
        return max(reported, self.in_flight) / max(1, self.report.max_running)


def expected_wait_s(candidate: Candidate, data_centre: str) -> float:
    """Return the expected wait of a new request at a candidate."""
    wait_s = candidate.load() * SERVICE_TIME_S
    if not candidate.is_resident:
        wait_s += LOAD_WAIT_S
    if candidate.report.data_centre != data_centre:
        wait_s += OTHER_DATA_CENTRE_S
    return wait_s


class Placement:
    """An index over one set of reports, built once for many decisions.

    A decision examines only the homes and the holders of one adapter, so its cost
    grows neither with the number of backend servers nor with that of adapters.
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
            return self._pick_best(candidates)
        homes_of_adapter = self._homes_of(adapter, excluded)
        holders = self._holders.get(adapter, ())
        candidates = [
            self._candidate(name, in_flight, name in holders)
            for name in homes_of_adapter
        ]
        candidates.extend(
            self._candidate(name, in_flight, True)
            for name in holders
            if name not in homes_of_adapter and name not in excluded
        )
        if candidates and self._is_lightly_loaded(candidates[0], in_flight):
            return candidates[0].report
        return self._pick_best(candidates)

    def _homes_of(self, adapter: str, excluded: Collection[str]) -> Sequence[str]:
        if excluded:
            names = [name for name in self._names if name not in excluded]
            return homes(adapter, names)
        cached = self._homes.get(adapter)
        if cached is None:
            if len(self._homes) >= MAX_CACHED_HOMES:
                self._homes.clear()
            positions = _best_positions(adapter, self._name_hashes, HOMES_PER_ADAPTER)
            cached = self._homes[adapter] = [self._names[item] for item in positions]
        return cached

    def reuse_homes(self, previous: "Placement") -> None:
        """Reuse the cached homes if ``previous`` has the same backend servers."""
        if previous._names == self._names:
            self._homes = previous._homes

    def _candidate(
        self, name: str, in_flight: Mapping[str, int], is_resident: bool
    ) -> Candidate:
        return Candidate(self._by_name[name], in_flight.get(name, 0), is_resident)

    def _is_lightly_loaded(
        self, first: Candidate, in_flight: Mapping[str, int]
    ) -> bool:
        """Return whether the first home has the adapter and is not overloaded."""
        if not first.is_resident:
            return False
        return first.load() <= max(HOME_LOAD_FACTOR * self._mean_load, LIGHT_LOAD)

    def _pick_best(self, candidates: Sequence[Candidate]) -> BackendReport | None:
        if not candidates:
            return None
        return min(
            candidates, key=lambda item: _sort_key(item, self._data_centre)
        ).report


def choose(
    adapter: str,
    reports: Sequence[BackendReport],
    in_flight: Mapping[str, int],
    data_centre: str,
    excluded: Collection[str] = (),
) -> BackendReport | None:
    """Return the backend server for one request, from reports used only once."""
    return Placement(reports, data_centre).choose(adapter, in_flight, excluded)


def _reported_load(report: BackendReport) -> float:
    load: float = (report.queued + report.running) / max(1, report.max_running)
    return load


def _sort_key(candidate: Candidate, data_centre: str) -> tuple[float, str]:
    name = candidate.report.backend_server
    return expected_wait_s(candidate, data_centre), name
