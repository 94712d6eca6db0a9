"""The order in which waiting requests start, also when not all can be on time.

Streams that go on come first, then the requests that can still be on time, and the late
ones last. Those that can be on time start in order of the time to spare; less urgent
ones count as if they had more of it, so they start later but not never. A workspace
that has been served more than its part of late counts likewise, while others wait. Of
the late requests the shortest start first, so that most of them are served; a share of
the time by which each is late counts for it, and less urgent ones come later here too.
"""

from collections.abc import Mapping

from damaskvalve_agent._permits._types import AdmissionRequest

GOES_ON = 0
TIMELY = 1
LATE = 2

# Time to spare that each step of priority is worth.
PRIORITY_STEP_S = 0.15
# Share of the time by which a late request is late that its reading counts as shorter.
LATENESS_SHARE = 0.05
# Service is forgotten by half in this time.
SERVICE_HALF_LIFE_S = 2.0
# A workspace may have this many times the mean service before it has to wait.
SERVICE_FACTOR = 2.0
# Service that is too small to count.
MIN_SERVICE_S = 0.001

OrderKey = tuple[int, float, float]


class WorkspaceService:
    """The reading that each workspace has recently had at one engine."""

    __slots__ = ("_service_s", "_at_s")

    def __init__(self) -> None:
        self._service_s: dict[str, float] = {}
        self._at_s = 0.0

    def add(self, workspace: str, reading_s: float, now_s: float) -> None:
        """Count reading for a workspace."""
        factor = 0.5 ** (max(0.0, now_s - self._at_s) / SERVICE_HALF_LIFE_S)
        self._at_s = max(self._at_s, now_s)
        self._service_s = {
            name: value * factor
            for name, value in self._service_s.items()
            if value * factor > MIN_SERVICE_S
        }
        self._service_s[workspace] = self._service_s.get(workspace, 0.0) + reading_s

    def excess_s(self, workspaces: frozenset[str]) -> Mapping[str, float]:
        """Return by how much each waiting workspace exceeds its part of the service."""
        names = workspaces | self._service_s.keys()
        if len(workspaces) < 2:
            return {}
        mean_s = sum(self._service_s.values()) / len(names)
        return {
            name: max(0.0, self._service_s.get(name, 0.0) - SERVICE_FACTOR * mean_s)
            for name in workspaces
        }


def order_key(
    request: AdmissionRequest, spare_s: float, reading_s: float, excess_s: float
) -> OrderKey:
    """Return the place of a request that has so much time to spare."""
    if request.goes_on():
        return GOES_ON, request.arrived_at_s, 0.0
    handicap_s = PRIORITY_STEP_S * request.priority + excess_s
    if spare_s < 0:
        counted_s = reading_s + LATENESS_SHARE * spare_s
        return LATE, counted_s + handicap_s, request.arrived_at_s
    return TIMELY, spare_s + handicap_s, request.arrived_at_s


def may_overtake(
    held_back: AdmissionRequest,
    held_back_spare_s: float,
    reading_s: float,
    allowance_s: float,
) -> bool:
    """Return whether a prompt may be read before a longer one that has to wait.

    The longer one is overtaken only while it has more to spare than a pause, and by no
    more reading than fits into one.
    """
    return (
        held_back_spare_s > held_back.max_pause_s
        and held_back.overtaken_s + reading_s <= allowance_s
    )


__all__ = [
    "GOES_ON",
    "LATE",
    "TIMELY",
    "OrderKey",
    "WorkspaceService",
    "may_overtake",
    "order_key",
]
