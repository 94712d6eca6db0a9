"""Retry-After times for callers of overloaded or limited backend servers.

If no backend server of a service accepts requests until some time, all callers that are
refused until then would return at the same moment. Each caller is therefore given its
own time.
"""

from collections.abc import Sequence

from damaskvalve_gateway._backend import Backend
from damaskvalve_gateway._grant_ledger import MIN_RATE_PER_S

# Time to a reply that is assumed for a backend server that has not replied yet.
DEFAULT_SERVICE_S = 0.1
# Callers are spread over at most this time after the backoff.
MAX_SPREAD_S = 2.0
# If the callers' times are further apart than the time above, they are placed in it by
# this fraction, whose multiples are spread evenly.
GOLDEN_FRACTION = 0.618


class RetryAfterScheduler:
    """Spreads the retries of refused callers over time."""

    __slots__ = ("_next_s", "_refused_count")

    def __init__(self) -> None:
        self._refused_count = 0
        # The earliest time for the next refused caller, by service.
        self._next_s: dict[str, float] = {}

    def wait_s(
        self, service: str, backends: Sequence[Backend], hosts: int, now_s: float
    ) -> float:
        """Return how long a caller has to wait until a backend server accepts requests.

        ``hosts`` is the number of hosts that share the backend servers, so that this
        host admits its part of the callers only.
        """
        self._refused_count += 1
        first_s = max(now_s, min(item.accepts_from_s() for item in backends))
        step_s = _step_s(backends, hosts, now_s)
        if step_s > MAX_SPREAD_S:
            fraction = self._refused_count * GOLDEN_FRACTION % 1.0
            return first_s + fraction * MAX_SPREAD_S - now_s
        at_s = max(first_s, self._next_s.get(service, 0.0))
        if at_s > first_s + MAX_SPREAD_S:
            at_s = first_s
        self._next_s[service] = at_s + step_s
        return at_s - now_s


def _step_s(backends: Sequence[Backend], hosts: int, now_s: float) -> float:
    """Return the time in which all backend servers serve one caller of this host."""
    service_s = max(item.service_s or DEFAULT_SERVICE_S for item in backends)
    served_per_s = sum(_served_per_s(item, service_s, now_s) for item in backends)
    return max(1, hosts) / served_per_s


def _served_per_s(backend: Backend, service_s: float, now_s: float) -> float:
    """Return how many requests a second a backend server serves for all hosts."""
    by_slots_per_s = max(1, backend.announcement.slots) / service_s
    limit_per_s = backend.allowed_per_s(now_s)
    if limit_per_s is None:
        return by_slots_per_s
    return min(by_slots_per_s, max(limit_per_s, MIN_RATE_PER_S))
