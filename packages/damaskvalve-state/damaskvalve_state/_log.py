"""The replicated log in memory: a snapshot, later entries and some earlier ones."""

import itertools
from collections.abc import Sequence

from damaskvalve_core.messages import EntryKind, LogEntry, Member, SnapshotFile


def empty_snapshot(members: Sequence[Member] = ()) -> SnapshotFile:
    """Return the initial snapshot, which precedes the first log entry."""
    return SnapshotFile(0, 0, list(members), b"")


class Log:
    """A snapshot and the log entries ``first_index .. last_index``."""

    def __init__(
        self, snapshot: SnapshotFile, entries: Sequence[LogEntry] = ()
    ) -> None:
        self.snapshot = snapshot
        # The index of the first entry in memory; the snapshot may cover it too.
        self.first_index: int = snapshot.last_index + 1
        self._entries = [item for item in entries if item.index >= self.first_index]
        # The membership entries among them, to find the current members quickly.
        self._member_entries = [
            item for item in self._entries if item.kind == EntryKind.MEMBERS
        ]

    @property
    def last_index(self) -> int:
        """Return the index of the last entry."""
        return self.first_index + len(self._entries) - 1

    @property
    def last_term(self) -> int:
        """Return the term of the last entry."""
        term: int | None = self.term_at(self.last_index)
        assert term is not None
        return term

    def term_at(self, index: int) -> int | None:
        """Return the term of an entry, or None if it is not known.

        The snapshot keeps the term of the last entry that it covers.
        """
        term: int
        if index == self.snapshot.last_index:
            term = self.snapshot.last_term
            return term
        if not self.first_index <= index <= self.last_index:
            return None
        term = self._entries[index - self.first_index].term
        return term

    def entry_at(self, index: int) -> LogEntry:
        """Return an entry that is in memory."""
        return self._entries[index - self.first_index]

    def entries_from(self, index: int, limit: int) -> Sequence[LogEntry]:
        """Return up to ``limit`` entries, starting at ``index``."""
        start = index - self.first_index
        return self._entries[start : start + limit]

    def batch_from(self, index: int, limit: int, limit_bytes: int) -> list[LogEntry]:
        """Return up to ``limit`` entries from ``index`` on, within ``limit_bytes``."""
        batch: list[LogEntry] = []
        size_bytes = 0
        for entry in self.entries_from(index, limit):
            size_bytes += len(entry.command)
            if size_bytes > limit_bytes:
                break
            batch.append(entry)
        return batch

    def exceeds(self, index: int, limit_bytes: int) -> bool:
        """Return whether the entries from ``index`` on exceed a size."""
        size_bytes = 0
        start = max(0, index - self.first_index)
        for entry in itertools.islice(self._entries, start, None):
            size_bytes += len(entry.command)
            if size_bytes > limit_bytes:
                return True
        return False

    def append(self, entry: LogEntry) -> None:
        """Append the entry that follows the last one."""
        if entry.index != self.last_index + 1:
            raise ValueError(
                f"log entry {entry.index} does not follow last entry {self.last_index}"
            )
        self._entries.append(entry)
        if entry.kind == EntryKind.MEMBERS:
            self._member_entries.append(entry)

    def truncate_from(self, index: int) -> None:
        """Remove the entry at ``index`` and all later ones."""
        del self._entries[index - self.first_index :]
        self._member_entries = [
            item for item in self._member_entries if item.index < index
        ]

    def compact(
        self, snapshot: SnapshotFile, retained: int, retained_bytes: int
    ) -> None:
        """Install a local snapshot; keep the newest covered entries for followers.

        These are up to ``retained`` entries of up to ``retained_bytes``.
        """
        self.snapshot = snapshot
        oldest = max(self.first_index, snapshot.last_index + 1 - retained)
        first_kept = snapshot.last_index + 1
        while first_kept > oldest:
            retained_bytes -= len(self.entry_at(first_kept - 1).command)
            if retained_bytes < 0:
                break
            first_kept -= 1
        del self._entries[: first_kept - self.first_index]
        self.first_index = first_kept

    def entries_after_snapshot(self) -> Sequence[LogEntry]:
        """Return the entries that the snapshot does not cover."""
        start: int = self.snapshot.last_index + 1 - self.first_index
        return self._entries[start:]

    def reset(self, snapshot: SnapshotFile) -> None:
        """Replace the whole log with a snapshot received from the leader."""
        self._entries = []
        self._member_entries = []
        self.snapshot = snapshot
        self.first_index = snapshot.last_index + 1

    def members(self) -> tuple[Sequence[Member], int]:
        """Return the newest member list and the index of its entry."""
        if self._member_entries and not self._is_covered(self._member_entries[-1]):
            newest = self._member_entries[-1]
            return newest.members, newest.index
        return self.snapshot.members, self.snapshot.last_index

    def newest_members_entry(self) -> LogEntry | None:
        """Return the newest entry of a member list; None if a snapshot covers it."""
        if self._member_entries and not self._is_covered(self._member_entries[-1]):
            return self._member_entries[-1]
        return None

    def members_at(self, index: int) -> Sequence[Member]:
        """Return the member list as of the entry at ``index``."""
        for entry in reversed(self._member_entries):
            if entry.index <= index and not self._is_covered(entry):
                members: Sequence[Member] = entry.members
                return members
        base: Sequence[Member] = self.snapshot.members
        return base

    def _is_covered(self, entry: LogEntry) -> bool:
        covered: bool = entry.index <= self.snapshot.last_index
        return covered
