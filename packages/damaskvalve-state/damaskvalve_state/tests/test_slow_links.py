"""Members that return without any state, behind slow links."""

import random
import tempfile
import time
import unittest

from damaskvalve_state.tests.open_fleet import Fleet

DURABLE = (1, 2, 3)
DISKLESS = 4
# 2 Mbit/s: what the links of the smallest hosts carry, and less.
LINK_BYTES_PER_S = 256 * 1024
# Within this time after a restart of all hosts requests are served again.
RECOVERY_S = 15.0


class SlowLinkTests(unittest.TestCase):
    def setUp(self):
        scratch = tempfile.TemporaryDirectory()
        self.addCleanup(scratch.cleanup)
        self.fleet = Fleet(scratch.name)
        self.addCleanup(self.fleet.stop_all)
        self.rng = random.Random(58)
        for number in DURABLE:
            self.fleet.start(number, DURABLE)

    def start_diskless(self):
        self.fleet.start(
            DISKLESS, DURABLE, durable=False, link_bytes_per_s=LINK_BYTES_PER_S
        )

    def commit(self, version, **fields):
        self.fleet.commit_document(version, **fields)

    def test_a_member_without_a_disk_catches_up_after_many_large_changes(self):
        """Guards against RECOVER, issue 58: it was sent all 4 MB of history, forever.

        What it lacks must grow with the state, which is 16 KB here.
        """
        for version in range(1, 241):
            self.commit(version, body=self.rng.randbytes(16 * 1024))
        self.start_diskless()
        self.fleet.await_version(DISKLESS, 240, RECOVERY_S)

    def test_a_member_that_returns_twice_catches_up_each_time(self):
        """Guards against RECOVER, issue 58, without a fault of the other members."""
        self.commit(1)
        self.start_diskless()
        self.fleet.await_version(DISKLESS, 1, RECOVERY_S)
        for last in (120, 240):
            self.fleet.stop(DISKLESS)
            for version in range(last - 118, last + 1):
                self.commit(version, body=self.rng.randbytes(16 * 1024))
            self.start_diskless()
            self.fleet.await_version(DISKLESS, last, RECOVERY_S)

    def test_a_state_larger_than_the_link_carries_in_a_timeout_arrives(self):
        """Guards against the same cause in snapshots: 1 MB takes 4 s, not 0.5 s."""
        for number in range(32):
            body = self.rng.randbytes(32 * 1024)
            self.commit(1, name=f"large-{number}", body=body)
        self.commit(1)
        self.start_diskless()
        self.fleet.await_version(DISKLESS, 1, RECOVERY_S)

    def test_an_entry_larger_than_the_link_carries_in_a_timeout_arrives(self):
        """Guards against the same cause in one entry: 600 KB take 2.4 s, not 0.5 s."""
        self.start_diskless()
        self.commit(1)
        self.fleet.await_version(DISKLESS, 1, RECOVERY_S)
        self.commit(2, body=self.rng.randbytes(600 * 1024))
        self.fleet.await_version(DISKLESS, 2, RECOVERY_S)

    def test_a_large_transfer_leaves_the_voters_their_leader(self):
        """Heartbeats are not held up by what other members are sent."""
        for number in range(32):
            body = self.rng.randbytes(32 * 1024)
            self.commit(1, name=f"large-{number}", body=body)
        self.commit(1)
        leader_ids = {self.fleet.groups[1].status().leader_id}
        self.start_diskless()
        deadline_s = time.monotonic() + RECOVERY_S
        while self.fleet.version(DISKLESS) < 1 and time.monotonic() < deadline_s:
            leader_ids.add(self.fleet.groups[1].status().leader_id)
            time.sleep(0.05)
        self.assertEqual(len(leader_ids), 1, leader_ids)
