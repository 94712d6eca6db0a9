"""Bounds what messages that are not complete yet hold, all of them together.

The load that this answers: many peers at once that send bytes without end. Each stays
below its own bound, and together they would be more than the host has.
"""

import contextlib
from collections.abc import Iterator

from damaskvalve_core._exceptions import DamaskvalveError

# Hosts have 200 MB; a process needs some 30 of them, and connections the rest.
MAX_BUFFERED_BYTES = 48 * 1024 * 1024
# A message up to this size is read whatever the others hold: four hundred at a time
# are as much as all others may have.
EXEMPT_MESSAGE_BYTES = 128 * 1024


class BufferBudgetExceededError(DamaskvalveError):
    """There is no room for the rest of a message."""


class BufferReservation:
    """The bytes of one message that is read whole before it goes on."""

    __slots__ = ("size_bytes", "_budget")

    def __init__(self, budget: "BufferBudget") -> None:
        self.size_bytes = 0
        self._budget = budget

    def add(self, size_bytes: int) -> None:
        """Count bytes; raises :class:`BufferBudgetExceededError` if they do not fit."""
        self.size_bytes += size_bytes
        self._budget.used_bytes += size_bytes
        if (
            self.size_bytes > EXEMPT_MESSAGE_BYTES
            and self._budget.used_bytes > self._budget.limit_bytes
        ):
            raise BufferBudgetExceededError(
                f"incomplete messages hold over {self._budget.limit_bytes} bytes, "
                f"this one {self.size_bytes}; no room for the rest of it"
            )


class BufferBudget:
    """The room of all messages of one kind; small ones always fit."""

    __slots__ = ("limit_bytes", "used_bytes")

    def __init__(self, limit_bytes: int = MAX_BUFFERED_BYTES) -> None:
        self.limit_bytes = limit_bytes
        self.used_bytes = 0

    @contextlib.contextmanager
    def reserve(self) -> Iterator[BufferReservation]:
        """Yield the count of one message, which ends with the context."""
        reservation = BufferReservation(self)
        try:
            yield reservation
        finally:
            self.used_bytes -= reservation.size_bytes
