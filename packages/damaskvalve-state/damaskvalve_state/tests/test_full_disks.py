"""Disks that refuse writes for a while, at each kind of write and with any error."""

import contextlib
import errno
import tempfile
import threading
import time
import unittest
from pathlib import Path
from unittest import mock

from hypothesis import given, settings, strategies as st

from damaskvalve_core import RetryLaterError
from damaskvalve_core.messages import Command, DocumentRecord
from damaskvalve_state import NodeSettings, Timing, _stored_member, running_group
from damaskvalve_state.tests.faulty_disk import FaultyDisk
from damaskvalve_state.tests.loss_simulation import run_full_disks
from damaskvalve_state.tests.test_group import ADDRESS, NoPeers, claim
from damaskvalve_state.tests.test_losses import FIXED, SEEDS

ERRORS = (errno.ENOSPC, errno.EDQUOT, errno.EIO, errno.EROFS, errno.EFBIG)
# Calls of an append, and those of a snapshot with the journal that follows it.
APPEND_CALLS = ("write", "part", "sync")
SNAPSHOT_CALLS = ("create", "sync", "rename", "folder")
FAULT_S = 0.3
RECOVERY_S = 5.0


class FullDiskTests(unittest.TestCase):
    """A member goes on once its disk takes writes again."""

    def setUp(self):
        scratch = tempfile.TemporaryDirectory()
        self.addCleanup(scratch.cleanup)
        self.folder = Path(scratch.name) / "group"
        self.settings = NodeSettings(
            self.folder, ADDRESS, "dc", [ADDRESS], Timing(0.3, 0.05)
        )
        self.disk = FaultyDisk(self.folder)
        self.kill = self.enterContext(mock.patch("os.kill"))
        self.enterContext(
            mock.patch.object(_stored_member, "DISK_RETRY_INTERVAL_S", 0.02)
        )
        self.names = iter(range(1_000_000))
        self.accepted = []

    def commit(self, group):
        """Commit a new command within the time for recovery."""
        name = f"claim-{next(self.names)}"
        until_s = time.monotonic() + RECOVERY_S
        while time.monotonic() < until_s:
            with contextlib.suppress(RetryLaterError):
                if group.propose(claim(name), 1.0) is not None:
                    self.accepted.append(name)
                    return
            time.sleep(0.02)
        self.fail("no command is committed")

    def check_fault(self, group, calls, error_number):
        """Let the disk refuse the calls in turn while commands come in."""
        self.disk.break_down(calls[0], error_number)
        with contextlib.suppress(RetryLaterError):
            # It may be committed or not: the outcome is unknown.
            group.propose(claim(f"unknown-{next(self.names)}"), FAULT_S)
        self.assertTrue(self.disk.has_refused.wait(1.0), calls)
        for call in calls[1:]:
            self.disk.break_down(call, error_number)
            self.assertTrue(self.disk.has_refused.wait(1.0), call)
        self.disk.mend()
        self.commit(group)

    def check_all(self, sequences):
        with self.disk.installed():
            with running_group(self.settings, NoPeers()) as group:
                self.commit(group)
                for calls in sequences:
                    for error_number in ERRORS:
                        with self.subTest(calls, error=errno.errorcode[error_number]):
                            self.check_fault(group, calls, error_number)
            self.assertFalse(self.kill.called, "the member has ended its process")
            with running_group(self.settings, NoPeers()) as group:
                self.commit(group)
                known = group.run(lambda node, now_s: set(node.state_machine.claims))
        self.assertLessEqual(set(self.accepted), known)

    def test_an_append_is_repeated_whatever_the_disk_refuses(self):
        """Nothing is acknowledged meanwhile, and nothing acknowledged is lost."""
        self.check_all([(call,) for call in APPEND_CALLS])

    def test_the_rest_of_a_batch_is_cut_off_once_the_disk_allows_it(self):
        """The batch is written again after that."""
        self.check_all([("part", "truncate"), ("part", "truncate", "write")])

    def test_a_snapshot_is_repeated_whatever_the_disk_refuses(self):
        """Its temporary file, the rename or the sync of the folder."""
        with mock.patch.object(_stored_member, "SNAPSHOT_INTERVAL_ENTRIES", 1):
            self.check_all([(call,) for call in SNAPSHOT_CALLS])

    def test_a_member_starts_once_the_disk_takes_writes(self):
        """Its id, the truncation of a torn tail, its journal and its first vote."""
        with self.disk.installed(), running_group(self.settings, NoPeers()) as group:
            self.commit(group)
        for call in ("create", "sync", "folder", "write"):
            for error_number in ERRORS:
                with self.subTest(call, error=errno.errorcode[error_number]):
                    self.check_start(call, error_number)
        self.assertFalse(self.kill.called, "the member has ended its process")

    def check_start(self, call, error_number):
        # A torn tail, which a start truncates.
        with (self.folder / "journal").open("ab") as journal:
            journal.write(b"\0\0")
        self.disk.break_down(call, error_number)
        mending = threading.Timer(FAULT_S, self.disk.mend)
        mending.start()
        with self.disk.installed(), running_group(self.settings, NoPeers()) as group:
            self.commit(group)
        mending.join()

    def test_a_member_ends_while_its_disk_refuses_writes(self):
        """It does not wait for the disk."""
        with self.disk.installed():
            with running_group(self.settings, NoPeers()) as group:
                self.commit(group)
                self.disk.break_down("write", errno.ENOSPC)
                with contextlib.suppress(RetryLaterError):
                    group.propose(claim("unknown"), FAULT_S)
                began_s = time.monotonic()
            self.assertLess(time.monotonic() - began_s, RECOVERY_S)


class JournalSizeTests(unittest.TestCase):
    def test_large_commands_do_not_fill_the_disk(self):
        """The journal is replaced by a snapshot long before the entries are many."""
        body, count = b"x" * 50_000, 40
        with tempfile.TemporaryDirectory() as scratch:
            folder = Path(scratch) / "group"
            node = NodeSettings(folder, ADDRESS, "dc", [ADDRESS], Timing(0.3, 0.05))
            limit = mock.patch.object(
                _stored_member, "SNAPSHOT_INTERVAL_BYTES", 8 * len(body)
            )
            with limit, running_group(node, NoPeers()) as group:
                for version in range(1, count + 1):
                    document = DocumentRecord("d", version, body)
                    until_s = time.monotonic() + RECOVERY_S
                    while group.propose(Command(document=document), 2.0) is None:
                        self.assertLess(time.monotonic(), until_s)
                        time.sleep(0.02)
                    size_bytes = (folder / "journal").stat().st_size
                    self.assertLess(size_bytes, 10 * len(body))
            with running_group(node, NoPeers()) as group:
                # The commit of the last one is known once the member leads.
                while group.propose(Command(document=document), 2.0) is None:
                    time.sleep(0.02)
                version = group.run(
                    lambda node, now_s: node.state_machine.documents["d"].version
                )
        self.assertEqual(version, count)


class FullDisksInTurnTests(unittest.TestCase):
    @settings(FIXED, max_examples=20)
    @given(seed=SEEDS, sizes=st.sampled_from([(1, 3), (1, 4), (2, 5), (2, 6)]))
    def test_a_group_accepts_changes_after_each_disk_was_full_in_turn(
        self, seed, sizes
    ):
        """Never two at once, with elections and changes of the voters meanwhile."""
        tolerance, size = sizes
        run_full_disks(seed, tolerance, size)


if __name__ == "__main__":
    unittest.main()
