"""How long a request may wait for its start, and in which order engines are asked."""

import math
from collections.abc import Mapping, Sequence

from damaskvalve_core import RefusedError
from damaskvalve_gateway._backend import Backend
from damaskvalve_gateway._choice import EngineOrder
from damaskvalve_gateway._exchange import Exchange

# Share of a route's time-to-first-event objective that is reserved for the engine,
# which prefills the prompt between the steps of a full batch, and for waits that turn
# out longer than predicted.
ENGINE_SHARE = 0.55
# Even a request that is already late accepts a wait of this share of the objective, but
# not less than MIN_TIMELY_WAIT_S, the time of an adapter load.
TIMELY_WAIT_SHARE = 0.45
MIN_TIMELY_WAIT_S = 0.3
# At most this many engines are asked for a start within the objective. After that, the
# request waits for the engine with the shortest predicted wait.
TIMELY_CANDIDATES = 5
# Share of the time to the deadline that a request may wait before it starts; the reply
# needs the rest.
MAX_WAIT_SHARE = 0.4
# Retry-After if no agent has predicted a wait.
DEFAULT_RETRY_AFTER_S = 1.0
# Streams that go on are admitted before new ones: their callers have a part already,
# and fewer engines are left for them while several software versions serve.
STREAM_GOES_ON_PRIORITY = -1


def admission_priority(exchange: Exchange, priority: int | None) -> int:
    """Return the priority at the agent; 0 is the most urgent of new requests."""
    if exchange.software_version is not None:
        return STREAM_GOES_ON_PRIORITY
    return priority or 0


def first_event_target_s(exchange: Exchange, now_s: float) -> float:
    """Return when the next event is due.

    The first event of a stream that goes on was on time or late long ago.
    """
    if exchange.software_version is not None:
        return now_s + exchange.route.objective_s
    return exchange.arrived_s + exchange.route.objective_s


def timely_wait_s(exchange: Exchange, now_s: float) -> float:
    """Return the longest wait for a start within the objective, in seconds.

    A late request gets a wait too: see TIMELY_WAIT_SHARE.
    """
    objective_s = exchange.route.objective_s
    left_s = exchange.arrived_s + objective_s - now_s
    return max(
        MIN_TIMELY_WAIT_S,
        TIMELY_WAIT_SHARE * objective_s,
        left_s - ENGINE_SHARE * objective_s,
    )


def patience_s(exchange: Exchange, now_s: float) -> float:
    """Return how long a request stays in the queue of an engine, in seconds.

    Agents let late requests start after timely ones, so under overload they may wait
    for much longer than predicted. The caller is told while it has time to come back.
    A stream that goes on is not given up: its caller has a part.
    """
    if exchange.software_version is not None:
        return math.inf
    return MAX_WAIT_SHARE * exchange.left_s(now_s)


def timely_candidates(order: EngineOrder) -> Sequence[Backend]:
    """Return the engines to ask for a start within the objective."""
    return order.timely[:TIMELY_CANDIDATES]


def late_candidates(
    order: EngineOrder, predicted_wait_s: Mapping[str, float], max_wait_s: float
) -> Sequence[Backend]:
    """Return the engines to ask once none starts the request within the objective.

    Those whose agents predicted a wait, and those that were known to be too busy to
    ask, come first, the shortest wait first. An agent that predicted too long a wait is
    not asked again.
    """
    asked = [
        item
        for item in order.ranked
        if item.announcement.instance_id in predicted_wait_s
    ]
    timely = set(order.timely)
    expected_s = {
        item: predicted_wait_s.get(item.announcement.instance_id, order.waits_s[item])
        for item in order.ranked
        if item in asked or item not in timely
    }
    known = sorted(expected_s, key=expected_s.__getitem__)
    rest = [item for item in order.timely[TIMELY_CANDIDATES:] if item not in expected_s]
    return [
        *(
            item
            for item in known
            if item not in asked or expected_s[item] <= max_wait_s
        ),
        *rest,
    ]


def overdue_refusal(waited_s: float) -> RefusedError:
    """Return the refusal for a request that waited for its engine in vain."""
    return RefusedError(
        503,
        "engines_busy",
        f"the engine did not start the request within {waited_s:.1f} s",
        retry_after_s=DEFAULT_RETRY_AFTER_S,
    )


def busy_refusal(predicted_wait_s: Mapping[str, float]) -> RefusedError:
    """Return the refusal for a request that no engine can start in time."""
    wait_s = min(predicted_wait_s.values(), default=DEFAULT_RETRY_AFTER_S)
    return RefusedError(
        503, "engines_busy", "no engine has a free slot in time", retry_after_s=wait_s
    )
