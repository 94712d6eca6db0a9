"""Which requests a host serves while it stops.

A request that cannot be expected to end before the host does is refused as not run, so
that its caller retries at another host.
"""

from collections import deque
from collections.abc import Mapping, Sequence

from damaskvalve_core import RefusedError
from damaskvalve_gateway._exchange import Exchange
from damaskvalve_gateway._model import STREAMING

# Outcome of an exchange, and code of a refusal, because the host stops.
STOPPING = "stopping"
# Another host can be tried at once.
STOPPING_RETRY_AFTER_S = 0.05
# Number of times that are kept for each kind of request, and number of these kinds.
MAX_TIMES = 32
MAX_KINDS = 2_048
# Share of the kept times within which a request that may be repeated usually ends. If
# it is cut off all the same, its caller repeats it.
REPEATABLE_SHARE = 0.9
# Factor on the longest kept time for a request that may not be repeated.
UNREPEATABLE_MARGIN = 1.25


def certainly_ends(deadline_s: float, end_s: float, now_s: float) -> bool:
    """Return whether a request that starts now ends in time, whatever it takes.

    At its deadline it has an answer or is given up.
    """
    return now_s < end_s and deadline_s <= end_s


def may_finish(
    deadline_s: float,
    times_s: Sequence[float],
    end_s: float,
    now_s: float,
    *,
    repeatable: bool,
) -> bool:
    """Return whether a request that starts now can be expected to end in time.

    ``times_s`` are the times that similar requests took; ``end_s`` is when the host
    ends the requests that still run. A request whose own deadline is not later ends in
    any case. Without times, nothing is expected of any other request.
    """
    if certainly_ends(deadline_s, end_s, now_s):
        return True
    if now_s >= end_s or not times_s:
        return False
    ordered_s = sorted(times_s)
    if repeatable:
        usual_s = ordered_s[int(REPEATABLE_SHARE * (len(ordered_s) - 1))]
    else:
        usual_s = UNREPEATABLE_MARGIN * ordered_s[-1]
    return now_s + usual_s <= end_s


class ServingTimes:
    """The times that the latest requests took, by route and size.

    Requests of a route are of one size if their limits of output tokens have the same
    number of binary digits.
    """

    def __init__(self) -> None:
        # The kind used last comes last.
        self._times_s: dict[tuple[str, int], deque[float]] = {}

    def note(self, exchange: Exchange, now_s: float) -> None:
        """Record that a request has been answered completely."""
        kind = _kind(exchange)
        times_s = self._times_s.pop(kind, None) or deque(maxlen=MAX_TIMES)
        times_s.append(now_s - exchange.arrived_s)
        self._times_s[kind] = times_s
        if len(self._times_s) > MAX_KINDS:
            del self._times_s[next(iter(self._times_s))]

    def times_s(self, exchange: Exchange) -> Sequence[float]:
        """Return the times of similar requests.

        If none of this size has been served, these are the times of the whole route.
        """
        kind = _kind(exchange)
        if kind in self._times_s:
            return self._times_s[kind]
        return [
            time_s
            for (route, _), times_s in self._times_s.items()
            if route == kind[0]
            for time_s in times_s
        ]


def _kind(exchange: Exchange) -> tuple[str, int]:
    return exchange.route.name, exchange.request.output_tokens.bit_length()


class StopAdmission:
    """Decides during a stop which requests may still be sent to a backend server."""

    def __init__(self) -> None:
        self.times = ServingTimes()
        # When the requests that still run are ended; None while the host serves.
        self._end_s: float | None = None
        # When the load balancer has removed this host; unused while it serves.
        self._removed_s = 0.0

    def begin(self, removed_s: float, end_s: float) -> None:
        """Begin the stop; requests that still run at ``end_s`` are ended.

        From ``removed_s`` on, when the load balancer has removed this host, a request
        that a kept connection brings is better served at another host than ended here.
        A stream is admitted then only if it ends in time whatever it takes: once it has
        begun it cannot be answered otherwise, engines may slow down while hosts stop,
        and what earlier ones took is no bound. Any other request has to be as certain
        to end as one that may not be repeated.
        """
        self._removed_s, self._end_s = removed_s, end_s

    def is_stopping(self) -> bool:
        """Return whether the host stops."""
        return self._end_s is not None

    def has_time(self, now_s: float, needed_s: float) -> bool:
        """Return whether what takes a given time can end before the host does."""
        return self._end_s is None or now_s + needed_s <= self._end_s

    def log_fields(self, exchange: Exchange) -> Mapping[str, object]:
        """Return what the log line of a request says of the stop, if there is one.

        These are what was left of the stop as the request arrived, and the longest of
        the times that similar requests took.
        """
        if self._end_s is None:
            return {}
        times_s = self.times.times_s(exchange)
        return {
            "left_of_stop_s": round(self._end_s - exchange.arrived_s, 3),
            "similar_s": round(max(times_s), 3) if times_s else "",
        }

    def admits(self, exchange: Exchange, now_s: float) -> bool:
        """Return whether a request that has not run may be sent now."""
        if self._end_s is None:
            return True
        is_late = exchange.arrived_s > self._removed_s
        if is_late and exchange.route.kind == STREAMING:
            return certainly_ends(exchange.deadline_s, self._end_s, now_s)
        return may_finish(
            exchange.deadline_s,
            self.times.times_s(exchange),
            self._end_s,
            now_s,
            repeatable=exchange.route.is_repeatable() and not is_late,
        )


def stopping_refusal() -> RefusedError:
    """Return the refusal for a request that another host has to serve."""
    return RefusedError(
        503,
        STOPPING,
        "this host is stopping, and may stop before the request has ended",
        retry_after_s=STOPPING_RETRY_AFTER_S,
    )
