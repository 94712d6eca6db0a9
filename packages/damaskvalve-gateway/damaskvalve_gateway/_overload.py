"""Retry-After times for callers of overloaded backend servers.

If every backend server of a service backs off until some time, all callers that are
refused until then would return at the same moment. Each caller is therefore given its
own time.
"""

from collections.abc import Sequence

from damaskvalve_gateway._backends import Backend

# Time to a reply that is assumed for a backend server that has not replied yet.
DEFAULT_SERVICE_S = 0.1
# Callers are spread over at most this time after the backoff.
MAX_SPREAD_S = 2.0


class RetryAfterScheduler:
    """Spreads the retries of refused callers over time."""

    __slots__ = ("_next_s",)

    def __init__(self) -> None:
        # The earliest time for the next refused caller, by service.
        self._next_s: dict[str, float] = {}

    def wait_s(
        self, service: str, backends: Sequence[Backend], hosts: int, now_s: float
    ) -> float:
        """Return how long a caller has to wait for overloaded backend servers.

        ``hosts`` is the number of hosts that share the slots, so that this host admits
        its part of the callers only.
        """
        first_s = min(item.backoff_until_s for item in backends)
        at_s = max(first_s, now_s, self._next_s.get(service, 0.0))
        if at_s > max(first_s, now_s) + MAX_SPREAD_S:
            at_s = max(first_s, now_s)
        self._next_s[service] = at_s + _step_s(backends, hosts)
        return at_s - now_s


def _step_s(backends: Sequence[Backend], hosts: int) -> float:
    """Return the time in which all slots together serve one caller of this host."""
    slots = sum(item.announcement.slots for item in backends)
    service_s = max(item.service_s or DEFAULT_SERVICE_S for item in backends)
    return service_s * max(1, hosts) / max(1, slots)
