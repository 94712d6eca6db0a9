"""What backend servers state about their request limits, ordered by what is known.

Replies overtake each other, and hosts tell each other what they have heard. The moment
at which a backend server made a statement lies between the time at which the request
was sent and the time at which the head of its reply was read. Hosts exchange ages, not
times; the time that a message takes widens the interval. Clocks of hosts are assumed to
run at the same speed, not to show the same time.
"""

import math

# Stands for a time before all others.
NEVER_S = -math.inf
# A finite time before all others, which a message can carry.
LONG_AGO_S = -1e9


class LimitStatement:
    """A statement of a backend server about its request limit."""

    __slots__ = ("limit_per_s", "earliest_s", "latest_s")

    def __init__(
        self, limit_per_s: float | None, earliest_s: float, latest_s: float
    ) -> None:
        if limit_per_s is not None and not 0 <= limit_per_s < math.inf:
            raise ValueError(f"limit_per_s is {limit_per_s}, not finite and at least 0")
        if not earliest_s <= latest_s:
            raise ValueError(f"earliest_s {earliest_s} is after latest_s {latest_s}")
        # Requests a second from all hosts together; None if there is no limit.
        self.limit_per_s = limit_per_s
        # Bounds of the time at which the statement was made, by this host's clock.
        self.earliest_s = earliest_s
        self.latest_s = latest_s


# Stands for a statement where none has been heard: it changes none.
NO_STATEMENT = LimitStatement(None, NEVER_S, LONG_AGO_S)


def newest_statement(
    known: LimitStatement | None, heard: LimitStatement
) -> LimitStatement:
    """Return the statement that holds, of the known one and one that was just heard.

    If their order is unknown, a limit is not ended, and the statement holds whose
    request was sent later.
    """
    if known is None or heard.earliest_s >= known.latest_s:
        return heard
    if known.earliest_s >= heard.latest_s:
        return known
    if heard.limit_per_s == known.limit_per_s:
        return LimitStatement(
            known.limit_per_s,
            max(known.earliest_s, heard.earliest_s),
            max(known.latest_s, heard.latest_s),
        )
    if heard.limit_per_s is None:
        return known
    return heard if heard.earliest_s >= known.earliest_s else known
