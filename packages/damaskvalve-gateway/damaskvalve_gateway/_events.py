"""Server-sent events: whole ones go on, a part of one is held back."""

# An event that grows beyond this is not one.
MAX_EVENT_BYTES = 1024 * 1024


class EventSplitter:
    """Cuts a stream into whole events and keeps the newest event id."""

    def __init__(self, last_event_id: int | None) -> None:
        self._rest = b""
        self.last_event_id = last_event_id

    def feed(self, data: bytes) -> bytes:
        """Return the whole events that are complete with these bytes."""
        data = self._rest + data
        end = data.rfind(b"\n\n")
        if end < 0:
            self._rest = data
            return b""
        whole, self._rest = data[: end + 2], data[end + 2 :]
        newest = event_id(whole[whole.rfind(b"\n\n", 0, end) + 2 :])
        if newest is None:
            for event in whole.split(b"\n\n"):
                number = event_id(event)
                newest = number if number is not None else newest
        if newest is not None:
            self.last_event_id = newest
        return whole

    def has_partial_event(self) -> bool:
        """Return whether a part of an event is held back."""
        return bool(self._rest.strip())

    def is_too_large(self) -> bool:
        """Return whether what is held back cannot be an event."""
        return len(self._rest) > MAX_EVENT_BYTES


def has_event(events: bytes) -> bool:
    """Return whether any of these blocks is more than comments and empty lines."""
    return any(
        line and not line.startswith(b":")
        for line in events.replace(b"\r\n", b"\n").split(b"\n")
    )


def event_id(event: bytes) -> int | None:
    """Return the id of one event, None if it has no numeric one."""
    for line in event.split(b"\n"):
        if line.startswith(b"id:"):
            value = line[3:].strip()
            return int(value) if value.isdigit() else None
    return None


def first_event_id(events: bytes) -> int | None:
    """Return the id of the first event that has one."""
    for event in events.split(b"\n\n"):
        number = event_id(event)
        if number is not None:
            return number
    return None
