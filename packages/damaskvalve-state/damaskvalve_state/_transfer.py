"""What a leader sends to a member at a time, so that it passes the links between them.

The load that this is made for: many members return at once without any state, over
links of a few Mbit/s, after hundreds of large changes. What each of them is sent grows
with the state, not with the history of its changes; each message is small enough to
arrive before its sender gives up, and what has arrived is kept; and the messages that
are under way at the same time do not make each other late on the leader's own link.
"""

from collections.abc import Iterable

from damaskvalve_core.messages import (
    AppendRequest,
    SnapshotFile,
    SnapshotPartRequest,
    SnapshotRequest,
)

# Maximum payload of a message, unless a single entry is larger: a tenth of a second on
# a link of 5 Mbit/s.
MAX_PAYLOAD_BYTES = 64 * 1024
# A payload up to this size is sent to any member, without regard to the others.
SMALL_PAYLOAD_BYTES = 4 * 1024
# Maximum payload that is under way to all members without a vote together.
MAX_IN_FLIGHT_BYTES = 512 * 1024
# A payload arrives at least this fast; slower links are treated as broken.
MIN_LINK_BYTES_PER_S = 64 * 1024
# Maximum size of a snapshot that is sent in parts, that of a field.
MAX_SNAPSHOT_BYTES = 64 * 1024 * 1024


def payload_bytes(message: object) -> int:
    """Return the size of the part of a message that grows with the state."""
    if isinstance(message, AppendRequest):
        return sum(len(entry.command) for entry in message.entries)
    if isinstance(message, (SnapshotRequest, SnapshotPartRequest)):
        return len(message.data)
    return 0


def transfer_time_s(size_bytes: int) -> float:
    """Return how much longer than an empty message a payload may take."""
    return size_bytes / MIN_LINK_BYTES_PER_S


class InFlightWindow:
    """The payload that may still be sent to members without a vote."""

    __slots__ = ("_room_bytes",)

    def __init__(self, in_flight_bytes: Iterable[int]) -> None:
        self._room_bytes = MAX_IN_FLIGHT_BYTES - sum(in_flight_bytes)

    def admits(self) -> bool:
        """Return whether a payload of any size may be sent."""
        return self._room_bytes > 0

    def take(self, size_bytes: int) -> None:
        """Count a payload that is sent."""
        self._room_bytes -= size_bytes


class SnapshotTransfer:
    """A snapshot on its way to one member, and how much of it has arrived."""

    __slots__ = ("snapshot", "held_bytes")

    def __init__(self, snapshot: SnapshotFile) -> None:
        self.snapshot = snapshot
        # How much the member holds, by its last reply.
        self.held_bytes = 0

    def next_part(self) -> bytes:
        """Return the next part to send."""
        end = self.held_bytes + MAX_PAYLOAD_BYTES
        part: bytes = self.snapshot.data[self.held_bytes : end]
        return part

    def is_whole(self) -> bool:
        """Return whether the snapshot fits into a single message."""
        return len(self.snapshot.data) <= MAX_PAYLOAD_BYTES


class SnapshotAssembly:
    """The parts of a snapshot that a member has received so far."""

    __slots__ = ("_key", "_data")

    def __init__(self) -> None:
        self._key: tuple[int, ...] = ()
        self._data = bytearray()

    def held_bytes(self, part: SnapshotPartRequest) -> int:
        """Return how much is held of the snapshot that a part belongs to."""
        return len(self._data) if self._key == _snapshot_key(part) else 0

    def add(self, part: SnapshotPartRequest) -> bytes | None:
        """Add a part that follows those held; return the snapshot if it is complete.

        A part of another snapshot replaces what is held, and one that leaves a gap or
        is held already changes nothing.
        """
        key = _snapshot_key(part)
        if part.offset == 0 and key != self._key:
            self._key, self._data = key, bytearray()
        if key != self._key or part.offset != len(self._data):
            return None
        self._data += part.data
        if len(self._data) != part.total_bytes:
            return None
        data = bytes(self._data)
        self.clear()
        return data

    def clear(self) -> None:
        """Forget all parts."""
        self._key, self._data = (), bytearray()


def _snapshot_key(part: SnapshotPartRequest) -> tuple[int, ...]:
    # Two leaders may encode the same state differently.
    return part.term, part.last_index, part.last_term, part.total_bytes
