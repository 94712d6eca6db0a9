"""Shared memory limit of all messages that are buffered until they are complete.

It protects a host from many peers that send endless data at the same time: each
message stays below its own limit, but together they would exhaust the host's memory.
"""

import contextlib
import threading
from collections.abc import Iterator

from damaskvalve_core._exceptions import DamaskvalveError

# Maximum size of a budget. Of the 200 MB of a host, the process itself takes about
# 30 MB, and connections the rest.
MAX_BUFFERED_BYTES = 48 * 1024 * 1024
# A message up to this size is accepted although the budget is used up.
EXEMPT_MESSAGE_BYTES = 128 * 1024
# What exempt messages may use beyond a budget, all of them together.
MAX_EXEMPT_BYTES = 16 * 1024 * 1024
# What the objects of one parsed header field take in memory beside its bytes. A head of
# short fields weighs up to fifty times its bytes.
FIELD_BYTES = 256


class BufferBudgetExceededError(DamaskvalveError):
    """The budget cannot hold the rest of a message."""


class BufferReservation:
    """The buffered bytes of one message, or of one after the other."""

    __slots__ = ("size_bytes", "_budget")

    def __init__(self, budget: "BufferBudget") -> None:
        self.size_bytes = 0
        self._budget = budget

    def add(self, size_bytes: int) -> None:
        """Reserve more bytes; raise :class:`BufferBudgetExceededError` if over budget.

        The bytes are counted in either case.
        """
        with self._budget.lock:
            self.size_bytes += size_bytes
            self._budget.used_bytes += size_bytes
            used_bytes = self._budget.used_bytes
        limit_bytes = self._budget.limit_bytes
        if self.size_bytes <= EXEMPT_MESSAGE_BYTES:
            limit_bytes += self._budget.exempt_bytes
        if size_bytes > 0 and used_bytes > limit_bytes:
            raise BufferBudgetExceededError(
                f"buffered messages exceed {limit_bytes} bytes in total; "
                f"discarding one of {self.size_bytes} bytes"
            )

    def shares_budget(self, other: "BufferReservation") -> bool:
        """Return whether another reservation belongs to the same budget."""
        return self._budget is other._budget

    def resize(self, size_bytes: int) -> None:
        """Reserve as many bytes as are buffered now; raise like :meth:`add`."""
        self.add(size_bytes - self.size_bytes)


class BufferBudget:
    """The memory limit of all buffered messages of one kind; threads may share it.

    Messages up to :data:`EXEMPT_MESSAGE_BYTES` may exceed it by ``exempt_bytes``.
    """

    __slots__ = ("limit_bytes", "exempt_bytes", "used_bytes", "lock")

    def __init__(
        self,
        limit_bytes: int = MAX_BUFFERED_BYTES,
        exempt_bytes: int = MAX_EXEMPT_BYTES,
    ) -> None:
        # Guards the sizes of the budget and of its reservations.
        self.lock = threading.Lock()
        self.limit_bytes = limit_bytes
        self.exempt_bytes = exempt_bytes
        self.used_bytes = 0

    @contextlib.contextmanager
    def reserve(self) -> Iterator[BufferReservation]:
        """Yield the reservation of one message; release it at the end."""
        reservation = BufferReservation(self)
        try:
            yield reservation
        finally:
            reservation.resize(0)
