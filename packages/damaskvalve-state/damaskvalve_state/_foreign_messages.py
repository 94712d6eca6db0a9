"""Checks of messages and commands from other processes before they are applied.

Any process can connect where no certificates are in use, and a member that fails ends.
What is committed is applied again at each start.
"""

from typing import Any

from damaskvalve_core import ProtocolError
from damaskvalve_core.messages import (
    AppendReply,
    AppendRequest,
    EntryKind,
    FoundReply,
    FoundRequest,
    HelloReply,
    HelloRequest,
    LogEntry,
    SnapshotPartRequest,
    SnapshotRequest,
    TakeOverRequest,
    VoteReply,
    VoteRequest,
)
from damaskvalve_state._state_machine import StateMachine
from damaskvalve_state._transfer import MAX_SNAPSHOT_BYTES

_REQUESTS = (
    AppendRequest,
    FoundRequest,
    HelloRequest,
    SnapshotPartRequest,
    SnapshotRequest,
    TakeOverRequest,
    VoteRequest,
)
_REPLIES = (AppendReply, FoundReply, HelloReply, VoteReply)
# Fields that members and hosts may leave out.
_OPTIONAL_FIELDS = frozenset(
    (
        "answer",
        "attempt",
        "fresh_start",
        "handed_over",
        "leads",
        "memory_only",
        "refused",
        "snapshot_bytes",
        "starts",
        "stopping",
        "trials",
        "value",
    )
)
_ENTRY_KINDS = (EntryKind.NOOP, EntryKind.COMMAND, EntryKind.MEMBERS)
# Terms grow by one with each election. A member never misses as many.
MAX_TERM_STEP = 10**9


def check_peer_request(message: Any, own_term: int) -> None:
    """Raise :class:`ProtocolError` unless a member could have sent a request."""
    if not isinstance(message, _REQUESTS):
        raise ProtocolError(f"{type(message).__name__} is not a request of a member")
    _check_complete(message)
    _check_numbers(message, own_term)
    if isinstance(message, FoundRequest) and not message.members:
        raise ProtocolError("the group to found has no members")
    if isinstance(message, AppendRequest):
        for place, entry in enumerate(message.entries):
            _check_entry(entry, message.previous_index + 1 + place, own_term)
    if isinstance(message, SnapshotRequest):
        _check_snapshot(message)
    if isinstance(message, SnapshotPartRequest):
        _check_snapshot_part(message)


def check_peer_reply(message: Any, own_term: int) -> None:
    """Raise :class:`ProtocolError` unless a member could have sent a reply."""
    if not isinstance(message, _REPLIES):
        raise ProtocolError(f"{type(message).__name__} is not a reply of a member")
    _check_complete(message)
    _check_numbers(message, own_term)


def check_command(command: Any) -> None:
    """Raise :class:`ProtocolError` unless a command of another host can be applied."""
    names = getattr(command, "__slots__", ())
    bodies = [getattr(command, name) for name in names]
    present = [body for body in bodies if body is not None]
    if len(present) != 1:
        raise ProtocolError(f"a command with {len(present)} bodies, not one")
    _check_complete(present[0])


def _check_complete(struct: Any) -> None:
    """Raise :class:`ProtocolError` if a field that has to be set is not."""
    for name in struct.__slots__:
        value = getattr(struct, name)
        if value is None:
            if name not in _OPTIONAL_FIELDS:
                raise ProtocolError(f"{type(struct).__name__} without {name}")
            continue
        for item in value if isinstance(value, list) else (value,):
            if hasattr(item, "thrift_spec"):
                _check_complete(item)


def _check_numbers(message: Any, own_term: int) -> None:
    if getattr(message, "term", 0) > own_term + MAX_TERM_STEP:
        raise ProtocolError(f"term {message.term} is far beyond term {own_term}")
    for name in message.__slots__:
        value = getattr(message, name)
        if isinstance(value, int) and value < 0:
            raise ProtocolError(f"{type(message).__name__} with {name} {value}")


def _check_entry(entry: LogEntry, index: int, own_term: int) -> None:
    _check_numbers(entry, own_term)
    if entry.index != index:
        raise ProtocolError(f"an entry {entry.index} in place of {index}")
    if entry.kind not in _ENTRY_KINDS:
        raise ProtocolError(f"an entry of kind {entry.kind}")
    if entry.kind == EntryKind.MEMBERS and not entry.members:
        raise ProtocolError("an entry with no members")


def _check_snapshot(message: SnapshotRequest) -> None:
    if not message.members:
        raise ProtocolError("a snapshot with no members")
    check_state(message.data)


def _check_snapshot_part(message: SnapshotPartRequest) -> None:
    if not message.members:
        raise ProtocolError("a part of a snapshot with no members")
    end = message.offset + len(message.data)
    if not message.data or end > message.total_bytes:
        raise ProtocolError(
            f"a part up to byte {end} of a snapshot of {message.total_bytes} bytes"
        )
    if message.total_bytes > MAX_SNAPSHOT_BYTES:
        raise ProtocolError(f"a snapshot of {message.total_bytes} bytes is too large")


def check_state(data: bytes) -> None:
    """Raise :class:`ProtocolError` unless the data of a snapshot can be read."""
    try:
        StateMachine.from_bytes(data)
    except (ProtocolError, TypeError, AttributeError) as error:
        raise ProtocolError(f"a snapshot that cannot be read: {error}") from error


__all__ = [
    "check_command",
    "check_peer_reply",
    "check_peer_request",
    "check_state",
]
