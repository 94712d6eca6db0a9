"""An open group: bootstrap from seeds, and members without a disk."""

import tempfile
import time
import unittest

from damaskvalve_core.messages import Member
from damaskvalve_state import next_members
from damaskvalve_state.tests.open_fleet import FIRST_PORT, Fleet


class OpenGroupTests(unittest.TestCase):
    def setUp(self):
        scratch = tempfile.TemporaryDirectory()
        self.addCleanup(scratch.cleanup)
        self.fleet = Fleet(scratch.name)
        self.addCleanup(self.fleet.stop_all)

    def test_only_members_with_a_disk_become_voters(self):
        """A further member with a disk becomes a voter; one without never does."""
        fleet = self.fleet
        for number in range(3):
            fleet.start(number, [0, 1, 2])
        fleet.start(3, [0, 1, 2])
        fleet.start(4, [0, 1, 2], durable=False)
        fleet.commit_document(5)
        for number in range(5):
            fleet.await_version(number, 5)
        deadline_s = time.monotonic() + 10
        while len(fleet.voters(0)) < 4 and time.monotonic() < deadline_s:
            time.sleep(0.05)
        self.assertEqual(len(fleet.voters(0)), 4)
        self.assertNotIn(f"127.0.0.1:{FIRST_PORT + 4}", fleet.voters(0))

    def test_restarted_group_rejoins_through_seeds_without_state(self):
        """The seeds are members without a disk that restart at the same time."""
        fleet = self.fleet
        for number in range(3):
            fleet.start(number, [0, 1, 2])
        fleet.start(3, [0, 1, 2], durable=False)
        fleet.start(4, [0, 1, 2], durable=False)
        fleet.commit_document(7)
        fleet.await_version(4, 7)
        fleet.stop_all()
        for number in range(3):
            fleet.start(number, [3, 4], may_bootstrap=False)
        fleet.start(3, [3, 4], durable=False, may_bootstrap=False)
        fleet.start(4, [3, 4], durable=False, may_bootstrap=False)
        fleet.await_version(3, 7)
        fleet.await_version(4, 7)

    def test_empty_members_do_not_bootstrap_without_permission(self):
        """Otherwise a loss of all disks would start a second, conflicting log."""
        for number in range(3):
            self.fleet.start(number, [0, 1, 2], may_bootstrap=False)
        time.sleep(2.0)
        for number in range(3):
            self.assertEqual(self.fleet.voters(number), [])


class MembershipTests(unittest.TestCase):
    @staticmethod
    def members(*names):
        return [Member(name, f"{name}:1", "dc") for name in names]

    def next_member_ids(self, voters, learners, unresponsive=()):
        proposed = next_members(self.members(*voters), learners, None, unresponsive)
        return None if proposed is None else [member.member_id for member in proposed]

    def test_each_step_changes_one_voter(self):
        """Old and new majorities must overlap."""
        (new,) = self.members("n")
        diskless = Member("m", "m:1", "dc", True)
        cases = [
            ("abc", [new], "", "abcn"),
            ("abc", [new], "b", "ac"),
            ("ac", [new], "", "acn"),
            ("abc", [], "b", None),
            ("abcd", [], "b", "acd"),
            ("abc", [diskless], "", None),
        ]
        for voters, learners, unresponsive, expected in cases:
            with self.subTest(voters=voters, unresponsive=unresponsive):
                proposed = self.next_member_ids(voters, learners, set(unresponsive))
                self.assertEqual(proposed, list(expected) if expected else None)
