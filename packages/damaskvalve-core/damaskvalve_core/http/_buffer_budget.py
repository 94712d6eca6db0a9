"""Bounds what messages that are not complete yet hold, all of them together.

The load that this answers: many peers at once that send bytes without end. Each stays
below its own bound, and together they would be more than the host has.
"""

import contextlib
from collections.abc import Iterator

from damaskvalve_core._exceptions import DamaskvalveError

# Hosts have 200 MB; a process needs some 30 of them, and connections the rest.
MAX_HELD_BYTES = 48 * 1024 * 1024
# A message up to this size is read whatever the others hold: four hundred at a time
# are as much as all others may have.
UNSHARED_BYTES = 128 * 1024


class BufferBudgetExceededError(DamaskvalveError):
    """There is no room for the rest of a message."""


class BufferReservation:
    """The bytes of one message that is read whole before it goes on."""

    __slots__ = ("size", "_budget")

    def __init__(self, budget: "BufferBudget") -> None:
        self.size = 0
        self._budget = budget

    def add(self, size: int) -> None:
        """Count bytes; raises :class:`BufferBudgetExceededError` if they do not fit."""
        self.size += size
        self._budget.held += size
        if self.size > UNSHARED_BYTES and self._budget.held > self._budget.limit:
            raise BufferBudgetExceededError(
                f"messages hold over {self._budget.limit} bytes; this one {self.size}"
            )


class BufferBudget:
    """The room of all messages of one kind; small ones always fit."""

    __slots__ = ("limit", "held")

    def __init__(self, limit: int = MAX_HELD_BYTES) -> None:
        self.limit = limit
        self.held = 0

    @contextlib.contextmanager
    def holding(self) -> Iterator[BufferReservation]:
        """Yield the count of one message, which ends with the context."""
        message = BufferReservation(self)
        try:
            yield message
        finally:
            self.held -= message.size
