"""Serialization of typed messages with the compact protocol of Thrift."""

from typing import Any

from thrift.protocol.TCompactProtocol import TCompactProtocolAcceleratedFactory
from thrift.Thrift import TException
from thrift.TSerialization import deserialize, serialize

from damaskvalve_core import _messages
from damaskvalve_core._exceptions import EncodingError, ProtocolError

# Maximum size of one field, that of a frame: a snapshot is a single field. The default
# of the library is lower, and applies to reading only.
MAX_FIELD_BYTES = 64 * 1024 * 1024

_FACTORY = TCompactProtocolAcceleratedFactory(
    string_length_limit=MAX_FIELD_BYTES, fallback=True
)

# The number of a message type on the wire is its index here: append only.
_WIRE_ORDER = (
    "Ack Problem VoteRequest VoteReply AppendRequest AppendReply SnapshotRequest "
    "FoundRequest FoundReply HelloRequest HelloReply ProposeRequest ProposeReply "
    "ConfirmRequest ConfirmReply BackendReport ReportReply PollRequest PollReply "
    "LookupRequest LookupReply CreditRequest CreditReply PermitRequest PermitReply "
    "LeaseJobRequest LeaseJobReply ReadRequest ReadReply WorkRequest WorkStarted "
    "WorkChunk WorkProgress WorkEnd WorkRefused SyncRequest SyncReply TokensRequest "
    "TokensReply AdmitRequest AdmitReply AdmitEnd TakeOverRequest "
    "SendGrantsRequest SendGrantsReply SnapshotPartRequest"
).split()

_CLASS_BY_NUMBER: dict[int, type] = {
    number: getattr(_messages, name) for number, name in enumerate(_WIRE_ORDER)
}
_NUMBER_BY_CLASS = {cls: number for number, cls in _CLASS_BY_NUMBER.items()}


def encode_struct(struct: Any) -> bytes:
    """Serialize a struct; raise :class:`EncodingError` if a value does not fit."""
    try:
        data: bytes = serialize(struct, _FACTORY)
    except (
        TException,
        TypeError,
        ValueError,
        AttributeError,
        OverflowError,
        RecursionError,
    ) as error:
        raise EncodingError(
            f"cannot encode {type(struct).__name__}: {error}"
        ) from error
    return data


def decode_struct(struct: Any, data: bytes) -> Any:
    """Fill ``struct`` from ``data``; raise :class:`ProtocolError` if it is invalid."""
    try:
        return deserialize(struct, data, _FACTORY)
    except (
        TException,
        EOFError,
        TypeError,
        ValueError,
        AttributeError,
        LookupError,
        OverflowError,
        MemoryError,
        RecursionError,
    ) as error:
        raise ProtocolError(f"undecodable {type(struct).__name__}") from error


def encode_message(message: Any) -> bytes:
    """Serialize a message, prefixed with the number of its type."""
    number = _NUMBER_BY_CLASS[type(message)]
    return bytes((number,)) + encode_struct(message)


def decode_message(frame: bytes) -> Any:
    """Return the message in ``frame``; raise :class:`ProtocolError` if invalid."""
    if not frame:
        raise ProtocolError("empty frame: the message type is missing")
    cls = _CLASS_BY_NUMBER.get(frame[0])
    if cls is None:
        raise ProtocolError(f"unknown message type {frame[0]}")
    return decode_struct(cls(), frame[1:])


def copy_struct(struct: Any) -> Any:
    """Return an independent copy of a generated struct."""
    return decode_struct(type(struct)(), encode_struct(struct))


__all__ = [
    "copy_struct",
    "decode_message",
    "decode_struct",
    "encode_message",
    "encode_struct",
]
