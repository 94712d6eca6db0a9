"""The files of a control host: journal, snapshot and member id.

A record is ``length, crc of payload, crc of the first two`` and a payload. The
journal is synced as a whole batch. A record cut short by the end of the file is
a torn tail and is dropped; any other bad record means damage.
"""

import contextlib
import errno
import os
import struct
import uuid
import zlib
from collections.abc import Iterator, Sequence
from pathlib import Path

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

_LENGTHS = struct.Struct(">II")
_CHECK = struct.Struct(">I")
_HEADER_BYTES = _LENGTHS.size + _CHECK.size
MEMBER_FILE = "member-id"
SNAPSHOT_FILE = "snapshot"
JOURNAL_FILE = "journal"


def _frame(payload: bytes) -> bytes:
    lengths = _LENGTHS.pack(len(payload), zlib.crc32(payload))
    return lengths + _CHECK.pack(zlib.crc32(lengths)) + payload


def _scan(data: bytes, place: str) -> tuple[Sequence[bytes], int]:
    payloads = []
    position = 0
    while len(data) - position >= _HEADER_BYTES:
        lengths = data[position : position + _LENGTHS.size]
        start = position + _HEADER_BYTES
        (check,) = _CHECK.unpack(data[position + _LENGTHS.size : start])
        if check != zlib.crc32(lengths):
            raise CorruptJournalError(f"{place}: bad header at byte {position}")
        length, payload_crc = _LENGTHS.unpack(lengths)
        if start + length > len(data):
            break
        payload = data[start : start + length]
        if zlib.crc32(payload) != payload_crc:
            raise CorruptJournalError(f"{place}: bad record at byte {position}")
        payloads.append(payload)
        position = start + length
    return payloads, position


def sync_folder(folder: Path) -> None:
    """Make the names in a folder durable."""
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def write_synced(path: Path, data: bytes) -> None:
    """Replace a file so that either the old or the new content survives."""
    temporary = path.with_suffix(".new")
    with temporary.open("wb") as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())
    temporary.replace(path)
    sync_folder(path.parent)


class Recovered:
    """What a data folder held when it was opened."""

    __slots__ = ("log", "hard_state", "cut_bytes")

    def __init__(self, log: Log, hard_state: HardState, cut_bytes: int) -> None:
        self.log = log
        self.hard_state = hard_state
        self.cut_bytes = cut_bytes


class Journal:
    """Appends records and replaces them with snapshots."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._path = folder / JOURNAL_FILE
        self._file = self._path.open("ab", buffering=0)
        self._size_bytes = self._path.stat().st_size
        # Whether bytes of a failed batch may stand behind the last whole record.
        self._has_tail = False
        sync_folder(folder)

    def append(self, records: Sequence[JournalRecord]) -> None:
        """Write a batch of records and sync it once.

        Raises :class:`OSError` when the disk refuses; what was written of the batch
        is cut off before the next one, so that it can be appended again.
        """
        if not records:
            return
        data = b"".join(_frame(encode_struct(item)) for item in records)
        if self._has_tail:
            self._file.truncate(self._size_bytes)
        self._has_tail = True
        written = os.write(self._file.fileno(), data)
        if written < len(data):
            raise OSError(errno.ENOSPC, f"wrote {written} of {len(data)} bytes")
        os.fdatasync(self._file.fileno())
        self._has_tail = False
        self._size_bytes += len(data)

    def install(
        self, snapshot: SnapshotFile, entries: Sequence[LogEntry], hard_state: HardState
    ) -> None:
        """Write a snapshot, then a journal that holds only what follows it."""
        write_synced(self._folder / SNAPSHOT_FILE, _frame(encode_struct(snapshot)))
        records = [JournalRecord(hard_state=hard_state)]
        records.extend(JournalRecord(entry=entry) for entry in entries)
        data = b"".join(_frame(encode_struct(item)) for item in records)
        write_synced(self._path, data)
        self._file.close()
        self._file = self._path.open("ab", buffering=0)
        self._size_bytes = len(data)
        self._has_tail = False

    def close(self) -> None:
        """Close the journal file."""
        self._file.close()


class MemoryJournal:
    """The journal of a member without a disk: it never votes, so it keeps nothing."""

    def append(self, records: Sequence[JournalRecord]) -> None:
        """Keep nothing."""

    def install(
        self, snapshot: SnapshotFile, entries: Sequence[LogEntry], hard_state: HardState
    ) -> None:
        """Keep nothing."""

    def close(self) -> None:
        """Close nothing."""


def read_snapshot(folder: Path) -> SnapshotFile | None:
    """Return the snapshot of a folder; None if the folder was never founded."""
    path = folder / SNAPSHOT_FILE
    if not path.exists():
        return None
    payloads, used = _scan(path.read_bytes(), str(path))
    if len(payloads) != 1:
        raise CorruptJournalError(f"{path}: cut short at byte {used}")
    return _decode(SnapshotFile(), payloads[0], path)


def recover(folder: Path) -> Recovered | None:
    """Read a folder back; cut a torn tail; None if it was never founded."""
    snapshot = read_snapshot(folder)
    if snapshot is None:
        return None
    path = folder / JOURNAL_FILE
    data = path.read_bytes() if path.exists() else b""
    payloads, used = _scan(data, str(path))
    if used < len(data):
        with path.open("r+b") as file:
            file.truncate(used)
            os.fsync(file.fileno())
    log = Log(snapshot)
    hard_state = HardState(0, "")
    for payload in payloads:
        record = _decode(JournalRecord(), payload, path)
        if record.hard_state is not None:
            hard_state = record.hard_state
        _replay(log, record, path)
    return Recovered(log, hard_state, len(data) - used)


def _decode(struct_value, payload: bytes, path: Path):  # type: ignore[no-untyped-def]
    try:
        return decode_struct(struct_value, payload)
    except ProtocolError as error:
        raise CorruptJournalError(f"{path}: undecodable record") from error


def _replay(log: Log, record: JournalRecord, path: Path) -> None:
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
    """Return the folder's member id; a folder without one gets a new id."""
    folder.mkdir(parents=True, exist_ok=True)
    path = folder / MEMBER_FILE
    if path.exists():
        return path.read_text(encoding="ascii").strip()
    member_id = uuid.uuid4().hex
    write_synced(path, member_id.encode("ascii"))
    return member_id


def set_aside(folder: Path, suffix: str) -> Path:
    """Rename a damaged folder, so that the member starts again as empty."""
    target = folder.with_name(f"{folder.name}.damaged-{suffix}")
    folder.rename(target)
    sync_folder(folder.parent)
    return target


@contextlib.contextmanager
def open_journal(folder: Path) -> Iterator[Journal]:
    """Yield the journal of a folder and close it at the end."""
    journal = Journal(folder)
    try:
        yield journal
    finally:
        journal.close()
