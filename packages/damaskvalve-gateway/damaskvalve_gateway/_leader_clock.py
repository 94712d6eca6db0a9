"""A lower bound of the leader's clock, for what this host tells the leader.

A message may be delayed, so the leader cannot tell from an age alone when something
happened. Each reply of the leader shows its clock; later, the clock shows at least that
time and what has passed here since the reply was read.
"""


class LeaderClock:
    """The clock of one leader, as its newest reply showed it."""

    __slots__ = ("_leader_id", "_clock_s", "_read_s")

    def __init__(self) -> None:
        self._leader_id = ""
        self._clock_s = 0.0
        self._read_s = 0.0

    def note(self, leader_id: str, clock_s: float, read_s: float) -> None:
        """Record the clock that a reply showed, and when this host read the reply."""
        self._leader_id = leader_id
        self._clock_s = clock_s
        self._read_s = read_s

    def at_least_s(self, leader_id: str, now_s: float) -> float | None:
        """Return what the clock shows at least; None for another leader."""
        if not leader_id or leader_id != self._leader_id:
            return None
        return self._clock_s + max(0.0, now_s - self._read_s)
