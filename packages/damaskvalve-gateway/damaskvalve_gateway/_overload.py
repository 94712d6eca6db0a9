"""When callers may come back to backend servers that asked to be left alone.

The load that this answers: every backend server of a service has refused with a time,
and all callers that are turned away until then would return in the same moment.
"""

from collections.abc import Sequence

from damaskvalve_gateway._backends import Backend

# Assumed for a backend server that has answered nothing yet.
FIRST_SERVICE_S = 0.1
# Callers are spread over at most this beyond the first moment.
LONGEST_SPREAD_S = 2.0


class RetryAfterScheduler:
    """Gives each caller that is turned away a time of its own."""

    __slots__ = ("_next_s",)

    def __init__(self) -> None:
        self._next_s: dict[str, float] = {}

    def wait_s(
        self, service: str, backends: Sequence[Backend], hosts: int, now_s: float
    ) -> float:
        """Return when a caller may come back to backend servers that are kept off.

        ``hosts`` share the places, so each sends back its part of the callers.
        """
        first_s = min(item.kept_off_until_s for item in backends)
        at_s = max(first_s, now_s, self._next_s.get(service, 0.0))
        if at_s > max(first_s, now_s) + LONGEST_SPREAD_S:
            at_s = max(first_s, now_s)
        self._next_s[service] = at_s + _step_s(backends, hosts)
        return at_s - now_s


def _step_s(backends: Sequence[Backend], hosts: int) -> float:
    """Return the time in which all places together serve one caller of this host."""
    places = sum(item.announcement.slots for item in backends)
    service_s = max(item.service_s or FIRST_SERVICE_S for item in backends)
    return service_s * max(1, hosts) / max(1, places)
