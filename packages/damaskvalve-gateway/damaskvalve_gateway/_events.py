"""Splits streams of server-sent events into complete events."""

from collections.abc import Collection

# The fields of server-sent events.
STANDARD_FIELDS = frozenset((b"id", b"event", b"data", b"retry"))
# Incomplete data beyond this size is not accepted as an event.
MAX_EVENT_BYTES = 1024 * 1024
# An id with more digits counts as none.
MAX_ID_DIGITS = 100


class EventSplitter:
    """Buffers incomplete events and tracks the newest event id."""

    def __init__(self, last_event_id: int | None) -> None:
        self._partial = bytearray()
        self.last_event_id = last_event_id

    def feed(self, data: bytes) -> bytes:
        """Add bytes and return all events that are complete."""
        # The separator may begin with the last byte that was buffered before.
        searched_bytes = max(0, len(self._partial) - 1)
        self._partial += data
        end = self._partial.rfind(b"\n\n", searched_bytes)
        if end < 0:
            return b""
        complete = bytes(self._partial[: end + 2])
        del self._partial[: end + 2]
        newest = event_id(complete[complete.rfind(b"\n\n", 0, end) + 2 :])
        if newest is None:
            for event in complete.split(b"\n\n"):
                number = event_id(event)
                newest = number if number is not None else newest
        if newest is not None:
            self.last_event_id = newest
        return complete

    def has_partial_event(self) -> bool:
        """Return whether an incomplete event is buffered."""
        return bool(self._partial.strip())

    def partial_event(self) -> bytes:
        """Return the bytes after the last complete event."""
        return bytes(self._partial)

    def buffered_bytes(self) -> int:
        """Return the size of the incomplete event that is buffered."""
        return len(self._partial)

    def is_too_large(self) -> bool:
        """Return whether the buffered part exceeds the size of an event."""
        return len(self._partial) > MAX_EVENT_BYTES


def foreign_line(events: bytes, other_fields: Collection[bytes]) -> bytes | None:
    """Return the first line that is no part of an event; None if there is none.

    ``other_fields`` are the fields of events that a dialect has besides the standard
    ones.
    """
    for line in events.replace(b"\r\n", b"\n").split(b"\n"):
        name = line.partition(b":")[0]
        if name and name not in STANDARD_FIELDS and name not in other_fields:
            return line
    return None


def has_event(events: bytes) -> bool:
    """Return whether any block holds more than comments and empty lines."""
    return any(
        line and not line.startswith(b":")
        for line in events.replace(b"\r\n", b"\n").split(b"\n")
    )


def event_id(event: bytes) -> int | None:
    """Return the id of an event; None if it has no numeric id."""
    for line in event.split(b"\n"):
        if line.startswith(b"id:"):
            value = line[3:].strip()
            is_number = value.isdigit() and len(value) <= MAX_ID_DIGITS
            return int(value) if is_number else None
    return None


def first_event_id(events: bytes) -> int | None:
    """Return the id of the first event that has one; None if none has."""
    for event in events.split(b"\n\n"):
        number = event_id(event)
        if number is not None:
            return number
    return None
