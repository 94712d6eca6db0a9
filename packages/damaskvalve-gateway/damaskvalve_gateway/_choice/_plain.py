"""The order in which plain backend servers are tried for a request."""

from collections.abc import Sequence

from damaskvalve_core import boot_clock_s
from damaskvalve_gateway._backend import Backend
from damaskvalve_gateway._backend_attempt import ANSWERED, NOT_RUN
from damaskvalve_gateway._choice._ranking import is_failing, score
from damaskvalve_gateway._choice._server_load import ServerLoads

# A place is expected to be free this long after a server has refused a request as full.
FULL_S = 0.1
# Expected times that differ by less count as equal.
NEAR_S = 0.05
# A server counts as slow only above this multiple of the typical time. All hosts see
# the same server slow, and would leave it for the others at once.
SLOW_FACTOR = 3.0
# At least this many servers have to be known for a typical time to a reply.
MIN_KNOWN_SERVERS = 2


def order_plain(
    backends: Sequence[Backend],
    data_centre: str,
    request_id: str,
    now_s: float,
    loads: ServerLoads | None = None,
) -> Sequence[Backend]:
    """Return plain backend servers: healthy, least busy, near, then spread by hash.

    A host sees only its own requests there. That others keep a server busy shows in
    ``loads``: it replies later than the others, or refuses a request as full.
    """
    waits_s: dict[Backend, float] = {}
    if loads is not None:
        typical_s = loads.typical_first_event_s(backends, MIN_KNOWN_SERVERS)
        waits_s = {
            item: loads.wait_s(item, typical_s, now_s, SLOW_FACTOR) for item in backends
        }
    return sorted(
        backends,
        key=lambda item: (
            is_failing(item, now_s),
            int(waits_s.get(item, 0.0) / NEAR_S),
            item.active,
            item.announcement.data_centre != data_centre,
            score(request_id, item.announcement.instance_id),
        ),
    )


class PlainChoice:
    """Orders plain backend servers by what their replies show of their load."""

    __slots__ = ("_data_centre", "_loads")

    def __init__(self, data_centre: str) -> None:
        self._data_centre = data_centre
        self._loads = ServerLoads()

    def order(self, backends: Sequence[Backend], request_id: str) -> Sequence[Backend]:
        """Return the servers to try for a request, the first to try first."""
        now_s = boot_clock_s()
        return order_plain(backends, self._data_centre, request_id, now_s, self._loads)

    def note(self, backend: Backend, outcome: str, began_s: float) -> None:
        """Record how an attempt ended; an empty outcome means it did not end itself."""
        now_s = boot_clock_s()
        load, took_s = self._loads.of(backend, now_s), now_s - began_s
        if outcome == NOT_RUN:
            load.note_reply(FULL_S, now_s)
            return
        # A quick failure, or a request that was not sent, does not show that the server
        # is fast. An attempt that takes longer than usual shows that it is slow.
        known_s = load.first_event_s()
        if outcome == ANSWERED or (known_s is not None and took_s > known_s):
            load.note_first_event(took_s, now_s)
