"""Journal recovery after torn writes, corruption and many records."""

import os
import tempfile
import unittest
from pathlib import Path
from unittest import mock

from hypothesis import given, settings, strategies as st

from damaskvalve_core import CorruptJournalError
from damaskvalve_core.messages import (
    EntryKind,
    HardState,
    JournalRecord,
    LogEntry,
    SnapshotFile,
)
from damaskvalve_state import (
    empty_snapshot,
    open_journal,
    read_or_make_member_id,
    recover,
)


def entry(index, term=1):
    return LogEntry(index, term, EntryKind.COMMAND, b"x" * (index % 7), [])


def write_entries(folder, count):
    with open_journal(folder) as journal:
        journal.install(empty_snapshot(), [], HardState(1, "me"))
        for index in range(1, count + 1):
            journal.append([JournalRecord(entry=entry(index))])


class SyncedSizes:
    """Notes how many bytes of each file and folder its last sync covered."""

    def __init__(self):
        self.bytes_by_path = {}

    def note(self, descriptor):
        path = Path(os.readlink(f"/proc/self/fd/{descriptor}"))
        self.bytes_by_path[path] = os.fstat(descriptor).st_size

    def installed(self):
        return mock.patch.multiple(os, fsync=self.note, fdatasync=self.note)


class JournalTests(unittest.TestCase):
    def setUp(self):
        self.scratch = tempfile.TemporaryDirectory()
        self.addCleanup(self.scratch.cleanup)
        self.folder = Path(self.scratch.name).resolve()
        self.path = self.folder / "journal"

    def test_many_records_are_recovered_in_order(self):
        """Recovery returns the appended records in order."""
        write_entries(self.folder, 700)
        recovered = recover(self.folder)
        self.assertEqual(recovered.log.last_index, 700)
        self.assertEqual(recovered.log.entry_at(700).command, entry(700).command)
        self.assertEqual(recovered.hard_state.voted_for, "me")

    def test_folder_without_a_snapshot_is_not_recovered(self):
        """An empty folder must not be taken for a member with an empty log."""
        self.assertIsNone(recover(self.folder))

    def test_a_journal_that_is_missing_or_empty_beside_a_snapshot_is_damage(self):
        """It must not be taken for an empty log: its records and vote are lost."""
        write_entries(self.folder, 3)
        first_record = self.path.read_bytes()[:12]
        for content in (b"", first_record, None):
            with self.subTest(content=content):
                if content is None:
                    self.path.unlink()
                else:
                    self.path.write_bytes(content)
                with self.assertRaises(CorruptJournalError):
                    recover(self.folder)

    def test_a_large_snapshot_is_not_taken_for_damage_at_the_next_start(self):
        """One of 17 MB could be written, and neither read again nor sent."""
        snapshot = empty_snapshot()
        snapshot.data = bytes(17_000_000)
        with open_journal(self.folder) as journal:
            journal.install(snapshot, [], HardState(0, ""))
        recovered = recover(self.folder)
        self.assertEqual(len(recovered.log.snapshot.data), len(snapshot.data))

    def test_torn_tail_is_truncated_and_earlier_records_kept(self):
        """A cut at any byte of the last record keeps the records before it."""
        write_entries(self.folder, 3)
        complete = self.path.read_bytes()
        write_entries(self.folder, 2)
        valid_bytes = len(self.path.read_bytes())
        for length in range(valid_bytes, len(complete)):
            self.path.write_bytes(complete[:length])
            recovered = recover(self.folder)
            self.assertEqual(recovered.log.last_index, 2)
            self.assertEqual(len(self.path.read_bytes()), valid_bytes)

    @settings(max_examples=150)
    @given(position=st.integers(0, 10_000), flip=st.integers(1, 255))
    def test_flipped_byte_anywhere_is_detected(self, position, flip):
        """A flipped byte raises an error; synced records are never lost silently."""
        with tempfile.TemporaryDirectory() as name:
            folder = Path(name)
            write_entries(folder, 20)
            data = bytearray((folder / "journal").read_bytes())
            data[position % len(data)] ^= flip
            (folder / "journal").write_bytes(bytes(data))
            with self.assertRaises(CorruptJournalError):
                recover(folder)

    def test_truncation_and_rewriting_are_replayed(self):
        """A follower that replaced entries recovers the new ones."""
        write_entries(self.folder, 5)
        with open_journal(self.folder) as journal:
            journal.append([JournalRecord(truncate_from_index=3)])
            journal.append([JournalRecord(entry=entry(3, term=2))])
        log = recover(self.folder).log
        self.assertEqual((log.last_index, log.last_term), (3, 2))

    def test_a_snapshot_replaces_what_it_covers(self):
        """After a snapshot the journal holds only later entries."""
        write_entries(self.folder, 9)
        with open_journal(self.folder) as journal:
            snapshot = SnapshotFile(7, 1, [], b"state")
            journal.install(snapshot, [entry(8), entry(9)], HardState(4, ""))
        recovered = recover(self.folder)
        self.assertEqual(recovered.log.snapshot.data, b"state")
        self.assertEqual(recovered.log.last_index, 9)
        self.assertEqual(recovered.hard_state.term, 4)

    def test_a_crash_between_snapshot_and_journal_loses_nothing(self):
        """The new snapshot and the old journal are still consistent."""
        write_entries(self.folder, 9)
        old = self.path.read_bytes()
        with open_journal(self.folder) as journal:
            journal.install(SnapshotFile(7, 1, [], b"s"), [], HardState(1, ""))
        self.path.write_bytes(old)
        self.assertEqual(recover(self.folder).log.last_index, 9)

    def test_records_that_a_killed_process_did_not_sync_are_synced_at_the_start(self):
        """Otherwise they count in the quorum, and are gone after a loss of power."""
        write_entries(self.folder, 2)
        synced = self.path.read_bytes()
        write_entries(self.folder, 3)
        written = self.path.read_bytes()
        self.path.write_bytes(synced)
        sizes = SyncedSizes()
        with sizes.installed():
            # The process is killed between the write and the sync.
            with self.path.open("ab") as file:
                file.write(written[len(synced) :])
            recovered = recover(self.folder)
            with open_journal(self.folder):
                self.assertEqual(recovered.log.last_index, 3)
                self.assertEqual(sizes.bytes_by_path.get(self.path), len(written))

    def test_a_folder_below_one_of_another_user_is_used(self):
        """The member cannot sync the folder above, and does not wait for it."""
        folder = self.folder / "data"
        folder.mkdir()
        open_file = os.open

        def open_own_only(path, flags, *mode, **options):
            if Path(path) == self.folder:
                raise PermissionError("not readable")
            return open_file(path, flags, *mode, **options)

        with mock.patch.object(os, "open", open_own_only):
            self.assertTrue(read_or_make_member_id(folder))

    def test_the_name_of_a_new_folder_is_synced_before_its_member_id_is_used(self):
        """Otherwise a loss of power takes the folder with all that is synced in it."""
        folder = self.folder / "data" / "group"
        sizes = SyncedSizes()
        with sizes.installed():
            read_or_make_member_id(folder)
        self.assertIn(folder.parent, sizes.bytes_by_path)
        self.assertIn(self.folder, sizes.bytes_by_path)

    def test_a_folder_made_by_a_killed_process_is_synced_at_the_start(self):
        """The folder is there, but its name may not be on the disk."""
        folder = self.folder / "group"
        folder.mkdir()
        sizes = SyncedSizes()
        with sizes.installed():
            read_or_make_member_id(folder)
        self.assertIn(self.folder, sizes.bytes_by_path)


if __name__ == "__main__":
    unittest.main()
