"""The data folder of a control host: journal, snapshot and member id.

A record is a header of ``payload length, payload CRC, CRC of these two``, followed
by the payload. The journal syncs each batch of records once. A record truncated by
the end of the file is a torn tail and is dropped; any other invalid record means
that the file is corrupt.
"""

import contextlib
import errno
import os
import struct
import uuid
import zlib
from collections.abc import Iterator, Sequence
from pathlib import Path

import logbook

from damaskvalve_core import (
    CorruptJournalError,
    ProtocolError,
    decode_struct,
    encode_struct,
)
from damaskvalve_core.messages import (
    HardState,
    JournalRecord,
    LogEntry,
    SnapshotFile,
)
from damaskvalve_state._log import Log

_log = logbook.Logger("journal")

_LENGTHS = struct.Struct(">II")
_HEADER_CRC = struct.Struct(">I")
_HEADER_BYTES = _LENGTHS.size + _HEADER_CRC.size
MEMBER_FILE = "member-id"
SNAPSHOT_FILE = "snapshot"
JOURNAL_FILE = "journal"


def _frame(payload: bytes) -> bytes:
    lengths = _LENGTHS.pack(len(payload), zlib.crc32(payload))
    return lengths + _HEADER_CRC.pack(zlib.crc32(lengths)) + payload


def _read_frames(data: bytes, source: str) -> tuple[Sequence[bytes], int]:
    """Return the payloads of the complete records, and the length of these in bytes."""
    payloads = []
    position = 0
    while len(data) - position >= _HEADER_BYTES:
        lengths = data[position : position + _LENGTHS.size]
        start = position + _HEADER_BYTES
        (check,) = _HEADER_CRC.unpack(data[position + _LENGTHS.size : start])
        if check != zlib.crc32(lengths):
            raise CorruptJournalError(
                f"{source}: corrupt record header at byte {position}"
            )
        length, payload_crc = _LENGTHS.unpack(lengths)
        if start + length > len(data):
            break
        payload = data[start : start + length]
        if zlib.crc32(payload) != payload_crc:
            raise CorruptJournalError(f"{source}: corrupt record at byte {position}")
        payloads.append(payload)
        position = start + length
    return payloads, position


def sync_folder(folder: Path) -> None:
    """Sync the directory entries of a folder to disk."""
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def make_folder(folder: Path) -> None:
    """Create a folder, and those above it, so that its name survives a power loss."""
    if not folder.parent.exists():
        make_folder(folder.parent)
    folder.mkdir(exist_ok=True)
    try:
        # A process that was killed may have created the folder without a sync.
        sync_folder(folder.parent)
    except PermissionError as error:
        # Whoever owns the folder above has created this one.
        _log.warning("cannot sync the folder above {}: {}", folder, error)


def write_atomically(path: Path, data: bytes) -> None:
    """Replace a file so that a crash leaves either the old or the new content."""
    temporary = path.with_suffix(".new")
    with temporary.open("wb") as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())
    temporary.replace(path)
    sync_folder(path.parent)


class RecoveredState:
    """The state read from a data folder at start."""

    __slots__ = ("log", "hard_state", "truncated_bytes")

    def __init__(self, log: Log, hard_state: HardState, truncated_bytes: int) -> None:
        self.log = log
        self.hard_state = hard_state
        self.truncated_bytes = truncated_bytes


class Journal:
    """The write-ahead log on disk, compacted by snapshots."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._path = folder / JOURNAL_FILE
        self._file = self._path.open("ab", buffering=0)
        self._size_bytes = self._path.stat().st_size
        # Bytes that follow the last snapshot.
        self.appended_bytes = self._size_bytes
        # Whether bytes of a failed batch may follow the last complete record.
        self._has_partial_batch = False
        # A process that was killed may have written records that it did not sync. They
        # are read at the start, and acknowledged without being written again.
        os.fdatasync(self._file.fileno())
        sync_folder(folder)

    def append(self, records: Sequence[JournalRecord]) -> None:
        """Write a batch of records and sync it once.

        Raise :class:`OSError` if the write or sync fails. The partial batch is
        truncated before the next append, so that the batch can be appended again.
        """
        if not records:
            return
        data = b"".join(_frame(encode_struct(item)) for item in records)
        if self._has_partial_batch:
            os.ftruncate(self._file.fileno(), self._size_bytes)
        self._has_partial_batch = True
        written = os.write(self._file.fileno(), data)
        if written < len(data):
            raise OSError(errno.ENOSPC, f"wrote {written} of {len(data)} bytes")
        os.fdatasync(self._file.fileno())
        self._has_partial_batch = False
        self._size_bytes += len(data)
        self.appended_bytes += len(data)

    def install(
        self, snapshot: SnapshotFile, entries: Sequence[LogEntry], hard_state: HardState
    ) -> None:
        """Write a snapshot, then a journal of only the hard state and later entries."""
        write_atomically(self._folder / SNAPSHOT_FILE, _frame(encode_struct(snapshot)))
        records = [JournalRecord(hard_state=hard_state)]
        records.extend(JournalRecord(entry=entry) for entry in entries)
        data = b"".join(_frame(encode_struct(item)) for item in records)
        write_atomically(self._path, data)
        file = self._path.open("ab", buffering=0)
        self._file.close()
        self._file = file
        self._size_bytes = len(data)
        self.appended_bytes = 0
        self._has_partial_batch = False

    def close(self) -> None:
        """Close the journal file."""
        self._file.close()


class MemoryJournal:
    """The journal of a member without a disk; it stores nothing."""

    def __init__(self) -> None:
        # Bytes of the commands that follow the last snapshot; the log holds them.
        self.appended_bytes = 0

    def append(self, records: Sequence[JournalRecord]) -> None:
        """Count the records and discard them."""
        self.appended_bytes += sum(
            len(item.entry.command) for item in records if item.entry is not None
        )

    def install(
        self, snapshot: SnapshotFile, entries: Sequence[LogEntry], hard_state: HardState
    ) -> None:
        """Discard the snapshot and entries."""
        self.appended_bytes = 0

    def close(self) -> None:
        """Do nothing."""


def read_snapshot(folder: Path) -> SnapshotFile | None:
    """Return the snapshot of a folder; None if it was never bootstrapped."""
    path = folder / SNAPSHOT_FILE
    if not path.exists():
        return None
    payloads, valid_bytes = _read_frames(path.read_bytes(), str(path))
    if len(payloads) != 1:
        raise CorruptJournalError(
            f"{path}: snapshot is not one whole record, valid to byte {valid_bytes}"
        )
    return _decode(SnapshotFile(), payloads[0], path)


def recover(folder: Path) -> RecoveredState | None:
    """Recover a folder and truncate a torn tail; None if it was never bootstrapped.

    Raise :class:`CorruptJournalError` if synced records are damaged or missing.
    """
    snapshot = read_snapshot(folder)
    if snapshot is None:
        return None
    path = folder / JOURNAL_FILE
    data = path.read_bytes() if path.exists() else b""
    payloads, valid_bytes = _read_frames(data, str(path))
    if not payloads:
        # The first record is synced before the file has its name.
        raise CorruptJournalError(f"{path}: no record follows the snapshot")
    if valid_bytes < len(data):
        with path.open("r+b") as file:
            file.truncate(valid_bytes)
            os.fsync(file.fileno())
    log = Log(snapshot)
    hard_state = HardState(0, "")
    for payload in payloads:
        record = _decode(JournalRecord(), payload, path)
        if record.hard_state is not None:
            hard_state = record.hard_state
        _replay_record(log, record, path)
    return RecoveredState(log, hard_state, len(data) - valid_bytes)


def _decode(struct_value, payload: bytes, path: Path):  # type: ignore[no-untyped-def]
    try:
        return decode_struct(struct_value, payload)
    except ProtocolError as error:
        raise CorruptJournalError(
            f"{path}: corrupt record: payload cannot be decoded"
        ) from error


def _replay_record(log: Log, record: JournalRecord, path: Path) -> None:
    base = log.snapshot.last_index
    if record.truncate_from_index is not None:
        log.truncate_from(max(record.truncate_from_index, base + 1))
    if record.entry is None or record.entry.index <= base:
        return
    try:
        log.append(record.entry)
    except ValueError as error:
        raise CorruptJournalError(f"{path}: {error}") from error


def read_or_make_member_id(folder: Path) -> str:
    """Return the member id of a folder; create a new id if it has none."""
    make_folder(folder)
    path = folder / MEMBER_FILE
    if path.exists():
        # A start that failed may not have synced the name of the file.
        sync_folder(folder)
        return path.read_text(encoding="ascii").strip()
    member_id = uuid.uuid4().hex
    write_atomically(path, member_id.encode("ascii"))
    return member_id


def set_aside(folder: Path, suffix: str) -> Path:
    """Rename a corrupt folder, so that its member starts with an empty one."""
    target = folder.with_name(f"{folder.name}.damaged-{suffix}")
    folder.rename(target)
    sync_folder(folder.parent)
    return target


@contextlib.contextmanager
def open_journal(folder: Path) -> Iterator[Journal]:
    """Open the journal of a folder and close it on exit."""
    journal = Journal(folder)
    try:
        yield journal
    finally:
        journal.close()
