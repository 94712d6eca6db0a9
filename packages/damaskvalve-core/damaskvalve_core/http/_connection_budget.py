"""Decides which connections to close when all together hold too much.

The load that this answers: very many callers send requests ahead and read no answer.
What one of them holds is small; the sum fills the memory of the process, or takes all
descriptors.
"""

from collections.abc import Callable, Collection

from damaskvalve_core._buffer_budget import (
    MAX_BUFFERED_BYTES,
    MAX_EXEMPT_BYTES,
    BufferBudget,
    BufferReservation,
)

# The memory and the descriptors of a machine whose settings state none.
DEFAULT_MEMORY_BYTES = 200_000_000
DEFAULT_DESCRIPTORS = 4_100
# What the process takes without any connection.
PROCESS_BYTES = 48_000_000
# Least memory for connections and messages, whatever the machine has.
MIN_SPARE_BYTES = 12_000_000
# Descriptors that are not available to sockets.
RESERVED_DESCRIPTORS = 200
MIN_SOCKETS = 128
# Sockets of the process itself, and connections that close.
PROCESS_SOCKETS = 64
# What one connection takes beside its bytes: its objects and its task.
CONNECTION_BYTES = 16 * 1024
# A connection whose caller has taken no unsent byte for this long is closed before any
# other when connections hold too much.
STALLED_S = 0.5
# Of too many connections that read nothing, this part is closed at once.
CLOSED_PART = 64
# Reasons for closing a connection.
TOO_MANY = "too_many_connections"
TOO_MUCH_HELD = "too_much_held"


class ConnectionLimits:
    """What the connections of one process may hold together."""

    __slots__ = (
        "caller_connections",
        "other_connections",
        "connection_bytes",
        "message_bytes",
        "exempt_bytes",
        "total_bytes",
    )

    def __init__(
        self,
        memory_bytes: int = DEFAULT_MEMORY_BYTES,
        descriptors: int = DEFAULT_DESCRIPTORS,
    ) -> None:
        spare_bytes = max(MIN_SPARE_BYTES, memory_bytes - PROCESS_BYTES)
        sockets = max(MIN_SOCKETS, descriptors - RESERVED_DESCRIPTORS)
        # Connections of callers. A request may need one to an agent and one to a
        # backend server.
        self.caller_connections = (sockets - PROCESS_SOCKETS) // 3
        # Connections at each other address of the process.
        self.other_connections = sockets // 16
        # Connections, with their unread and unsent bytes.
        self.connection_bytes = spare_bytes // 4
        # Each kind of message that is buffered until it is complete.
        self.message_bytes = min(MAX_BUFFERED_BYTES, spare_bytes // 3)
        # What small messages may use beyond that.
        self.exempt_bytes = min(MAX_EXEMPT_BYTES, self.message_bytes // 3)
        # All connections and messages together.
        self.total_bytes = spare_bytes * 7 // 8

    def message_budget(self) -> BufferBudget:
        """Return a budget for one kind of message."""
        return BufferBudget(self.message_bytes, self.exempt_bytes)


class Holding:
    """What one connection holds, and when its caller last made progress."""

    __slots__ = (
        "unread_bytes",
        "unsent_bytes",
        "reservation",
        "is_handling",
        "progress_s",
        "close",
        "refresh",
    )

    def __init__(
        self,
        now_s: float,
        close: Callable[[str], None],
        refresh: Callable[[], None],
    ) -> None:
        self.unread_bytes = 0
        self.unsent_bytes = 0
        # The head and the body of the request in progress.
        self.reservation: BufferReservation | None = None
        # Whether a request is being handled.
        self.is_handling = False
        # When the caller last took a byte, or when the last request ended.
        self.progress_s = now_s
        # Closes the connection at once, for a reason.
        self.close = close
        # Records anew how many bytes are unsent.
        self.refresh = refresh

    def discard(self) -> None:
        """Forget the connection after its end."""
        self.reservation = None
        self.close = lambda reason: None
        self.refresh = lambda: None

    def buffer_bytes(self) -> int:
        """Return what the connection takes without its request."""
        return CONNECTION_BYTES + self.unread_bytes + self.unsent_bytes

    def held_bytes(self) -> int:
        """Return all that the connection takes."""
        reserved = self.reservation.size_bytes if self.reservation is not None else 0
        return self.buffer_bytes() + reserved

    def is_receiving(self) -> bool:
        """Return whether a part of a request has arrived, but not all of it."""
        reserved = self.reservation.size_bytes if self.reservation is not None else 0
        return not self.is_handling and (self.unread_bytes > 0 or reserved > 0)

    def is_stalled(self, now_s: float) -> bool:
        """Return whether the caller takes nothing of what there is for it."""
        return self.unsent_bytes > 0 and now_s - self.progress_s >= STALLED_S


#: Ranks a connection that may be closed; the one with the lowest rank goes first.
ClosingOrder = Callable[[Holding, float], tuple[float, ...]]


def by_progress(holding: Holding, now_s: float) -> tuple[float, ...]:
    """Rank connections that are too many: idle ones before requests that arrive."""
    if holding.is_stalled(now_s):
        return 0, -holding.held_bytes()
    if holding.unsent_bytes:
        return 3, holding.progress_s
    return (2 if holding.is_receiving() else 1), holding.progress_s


def by_size(holding: Holding, now_s: float) -> tuple[float, ...]:
    """Rank connections that hold too much: large requests before idle connections."""
    if holding.is_stalled(now_s):
        return 0, -holding.held_bytes()
    rank = 2 if holding.unsent_bytes else 1
    return rank, -holding.held_bytes(), holding.progress_s


def connections_to_close(
    holdings: Collection[Holding],
    excess_bytes: int,
    order: ClosingOrder,
    now_s: float,
) -> list[Holding]:
    """Return the connections to close so that at least some bytes are released.

    Callers that read nothing come first, those that hold most before the others; then
    connections without a request that is handled, and then slow readers. A request that
    is handled and whose response does not wait for its caller keeps its connection.
    """

    candidates = [
        holding
        for holding in holdings
        if holding.unsent_bytes or not holding.is_handling
    ]
    candidates.sort(key=lambda holding: order(holding, now_s))
    chosen = []
    for holding in candidates:
        if excess_bytes <= 0:
            break
        chosen.append(holding)
        excess_bytes -= holding.held_bytes()
    return chosen


def _refresh(holdings: Collection[Holding]) -> None:
    for holding in holdings:
        if holding.unsent_bytes:
            holding.refresh()


class ConnectionBudget:
    """What all connections of a process hold at the moment."""

    __slots__ = ("limits", "holdings", "used_bytes", "messages", "observe")

    def __init__(
        self,
        limits: ConnectionLimits | None = None,
        observe: Callable[[str, int, int], None] | None = None,
    ) -> None:
        self.limits = limits or ConnectionLimits()
        self.holdings: set[Holding] = set()
        # Without the messages, which are counted by their own budgets.
        self.used_bytes = 0
        self.messages: list[BufferBudget] = []
        # Called with a reason, the number of connections closed and the bytes held.
        self.observe = observe or (lambda reason, closed, held_bytes: None)

    def message_budget(self) -> BufferBudget:
        """Return the budget of one kind of message; it counts towards the total."""
        budget = self.limits.message_budget()
        self.messages.append(budget)
        return budget

    def add(self, holding: Holding) -> None:
        """Count a connection."""
        self.holdings.add(holding)
        self.used_bytes += holding.buffer_bytes()

    def remove(self, holding: Holding) -> None:
        """Stop counting a connection, if it is counted."""
        if holding in self.holdings:
            self.holdings.remove(holding)
            self.used_bytes -= holding.buffer_bytes()

    def set_unread(self, holding: Holding, unread_bytes: int) -> None:
        """Record how many bytes a connection has not read."""
        if holding in self.holdings:
            self.used_bytes += unread_bytes - holding.unread_bytes
        holding.unread_bytes = unread_bytes

    def set_unsent(
        self, holding: Holding, unsent_bytes: int, written_bytes: int, now_s: float
    ) -> None:
        """Record the unsent bytes of a connection after some more were written."""
        taken_bytes = holding.unsent_bytes + written_bytes - unsent_bytes
        if taken_bytes > 0 or not holding.unsent_bytes:
            holding.progress_s = now_s
        if holding in self.holdings:
            self.used_bytes += unsent_bytes - holding.unsent_bytes
        holding.unsent_bytes = unsent_bytes

    def excess_bytes(self) -> int:
        """Return by how much the connections exceed what they may hold."""
        limits = self.limits
        total_bytes = self.used_bytes + sum(
            budget.used_bytes for budget in self.messages
        )
        return max(
            self.used_bytes - limits.connection_bytes, total_bytes - limits.total_bytes
        )

    def relieve(self, now_s: float) -> None:
        """Close connections if all together hold too much, and some more.

        The margin saves choosing anew with each further byte.
        """
        _refresh(self.holdings)
        excess_bytes = self.excess_bytes()
        if excess_bytes > 0:
            margin_bytes = self.limits.connection_bytes // 8
            chosen = connections_to_close(
                self.holdings, excess_bytes + margin_bytes, by_size, now_s
            )
            self._close(chosen, TOO_MUCH_HELD)

    def make_room(self, holdings: Collection[Holding], now_s: float) -> bool:
        """Close one of some connections; return False if none may be closed.

        Close more only if their callers read nothing.
        """
        _refresh(holdings)
        enough_bytes = len(holdings) // CLOSED_PART * CONNECTION_BYTES
        chosen = connections_to_close(
            holdings, max(1, enough_bytes), by_progress, now_s
        )
        chosen = [
            holding
            for number, holding in enumerate(chosen)
            if number == 0 or holding.is_stalled(now_s)
        ]
        self._close(chosen, TOO_MANY)
        return bool(chosen)

    def discard_larger(self, reservation: BufferReservation) -> bool:
        """Close the connection with the largest incomplete request.

        Return False if none of the same kind is larger than the given one.
        """
        largest = max(
            (
                holding
                for holding in self.holdings
                if not holding.is_handling
                and holding.reservation is not None
                and holding.reservation.shares_budget(reservation)
            ),
            key=Holding.held_bytes,
            default=None,
        )
        if largest is None or largest.reservation is None:
            return False
        if largest.reservation.size_bytes <= reservation.size_bytes:
            return False
        self._close([largest], TOO_MUCH_HELD)
        return True

    def _close(self, chosen: list[Holding], reason: str) -> None:
        if chosen:
            self.observe(reason, len(chosen), self.used_bytes)
        for holding in chosen:
            self.remove(holding)
            holding.close(reason)
