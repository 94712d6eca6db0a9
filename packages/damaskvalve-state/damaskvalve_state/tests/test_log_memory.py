"""The size of the log in memory."""

import time
import unittest
from unittest import mock

from damaskvalve_core.messages import (
    Command,
    DocumentRecord,
    EntryKind,
    LogEntry,
    SnapshotFile,
)
from damaskvalve_state import (
    Log,
    NodeSettings,
    Timing,
    _stored_member,
    empty_snapshot,
    running_group,
)
from damaskvalve_state._consensus import RETAINED_BYTES
from damaskvalve_state.tests.test_group import NoPeers

ADDRESS = "127.0.0.1:1"
BODY_BYTES = 64 * 1024
INTERVAL_BYTES = 1024 * 1024


def logged_bytes(node, now_s):
    log = node.consensus.log
    entries = log.entries_from(log.first_index, log.last_index)
    return sum(len(entry.command) for entry in entries)


class LogMemoryTests(unittest.TestCase):
    def test_a_member_without_a_disk_compacts_its_log_by_size(self):
        """Guards against 5,000 entries of any size on hosts of 200 MB."""
        settings = NodeSettings(None, ADDRESS, "dc", [ADDRESS], Timing(0.3, 0.05))
        interval = mock.patch.object(
            _stored_member, "SNAPSHOT_INTERVAL_BYTES", INTERVAL_BYTES
        )
        with interval, running_group(settings, NoPeers()) as group:
            for version in range(1, 81):
                body = bytes(BODY_BYTES)
                command = Command(document=DocumentRecord("d", version, body))
                for _ in range(200):
                    if group.propose(command, 5.0) is not None:
                        break
                    time.sleep(0.05)
            limit_bytes = INTERVAL_BYTES + RETAINED_BYTES + 2 * BODY_BYTES
            self.assertLess(group.run(logged_bytes), limit_bytes)

    def test_covered_entries_are_kept_up_to_a_size(self):
        """A member that lacks more than that gets the snapshot."""
        entries = [
            LogEntry(index, 1, EntryKind.COMMAND, bytes(100), [])
            for index in range(1, 101)
        ]
        for retained, retained_bytes, first in (
            (10, 10_000, 71),
            (1_000, 1_050, 71),
            (1_000, 99, 81),
            (1_000, 1_000_000, 1),
        ):
            log = Log(empty_snapshot(), entries)
            log.compact(SnapshotFile(80, 1, [], b""), retained, retained_bytes)
            self.assertEqual((log.first_index, log.last_index), (first, 100))
            self.assertEqual(log.entry_at(first).index, first)
