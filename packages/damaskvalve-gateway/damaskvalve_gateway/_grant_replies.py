"""Grants whose replies did not reach the host that asked.

A host sends one call at a time and gives up a call whose reply is late. The next call
says which reply it received last, so the leader knows of the grants that were lost.
"""

from collections.abc import Mapping

from damaskvalve_gateway._incarnations import Incarnation

# The last call of a host that has not asked for this long is forgotten.
CALL_RETENTION_S = 60.0


class _Call:
    """The last call of one process of a host."""

    __slots__ = ("number", "granted", "at_s")

    def __init__(self, number: int, at_s: float) -> None:
        self.number = number
        self.granted: dict[Incarnation, int] = {}
        self.at_s = at_s


class GrantReplies:
    """The last call of each process that asked the leader for grants."""

    def __init__(self) -> None:
        # By the process that asked.
        self._calls: dict[str, _Call] = {}

    def begin(
        self, process: str, number: int, received: int, now_s: float
    ) -> Mapping[Incarnation, int] | None:
        """Record a call; return the grants of the last one if its reply was lost.

        Calls of one process are numbered; ``received`` is the number of the last one
        with a reply. Return None for a call that its process has given up already.
        """
        last = self._calls.get(process)
        if last is not None and number <= last.number:
            return None
        self._calls[process] = _Call(number, now_s)
        if last is None or received >= last.number:
            return {}
        return last.granted

    def note_granted(self, process: str, incarnation: Incarnation, count: int) -> None:
        """Record the grants of the current call of a process."""
        granted = self._calls[process].granted
        granted[incarnation] = granted.get(incarnation, 0) + count

    def expire(self, now_s: float) -> None:
        """Forget the calls of processes that have not asked for CALL_RETENTION_S."""
        self._calls = {
            process: call
            for process, call in self._calls.items()
            if now_s - call.at_s < CALL_RETENTION_S
        }
