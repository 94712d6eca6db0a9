"""An open group: bootstrap from seeds, and members without a disk."""

import tempfile
import time
import unittest

from damaskvalve_core.messages import HardState, Member
from damaskvalve_state import (
    LossTolerance,
    MembershipView,
    empty_snapshot,
    next_members,
    open_journal,
)
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

    def test_a_founder_killed_between_its_snapshot_and_its_journal_founds_again(self):
        """Otherwise it counts as founded with an empty log, and the others wait."""
        fleet = self.fleet
        fleet.start(0, [0, 1, 2])
        fleet.stop(0)
        folder = fleet.scratch / "0"
        with open_journal(folder) as journal:
            journal.install(empty_snapshot(), [], HardState(0, ""))
        (folder / "journal").write_bytes(b"")
        for number in range(3):
            fleet.start(number, [0, 1, 2])
        fleet.commit_document(1)

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
        return [Member(name, f"{name[0]}:1", "dc") for name in names]

    def next_member_ids(self, voters, learners, hosts=1, **ids):
        view = MembershipView(self.members(*voters), learners, **ids)
        change = next_members(view, LossTolerance(hosts))
        if change is None:
            return None
        return [member.member_id for member in change.members]

    def check(self, cases):
        for voters, learners, ids, expected in cases:
            with self.subTest(voters=voters, ids=ids):
                proposed = self.next_member_ids(voters, learners, **ids)
                self.assertEqual(proposed, list(expected) if expected else None)

    def test_each_step_changes_one_voter(self):
        """Old and new majorities must overlap."""
        (new,) = self.members("n")
        diskless = Member("m", "m:1", "dc", True)
        b = {"silent_ids": "b", "doubtful_ids": "b"}
        self.check(
            [
                ("abc", [new], {}, "abcn"),
                ("abc", [new], b, "ac"),
                ("ac", [new], {}, "acn"),
                ("abc", [], b, None),
                ("abcd", [], b, "acd"),
                ("abc", [diskless], {}, None),
            ]
        )

    def test_a_successor_does_not_join_beside_a_voter_that_may_be_gone(self):
        """It would raise the quorum, and the gone voter cannot help to reach it."""
        (new,) = self.members("n")
        self.check(
            [
                ("abc", [new], {"doubtful_ids": "b"}, None),
                ("abcde", [new], {"doubtful_ids": "b"}, None),
                ("ab", [new], {"doubtful_ids": "b"}, "abn"),
            ]
        )

    def test_a_voter_is_removed_only_if_a_majority_of_the_others_answers(self):
        """Otherwise the change could not be committed."""
        (new,) = self.members("n")
        self.check(
            [
                ("abc", [new], {"silent_ids": "b", "doubtful_ids": "bc"}, None),
                ("abcd", [], {"silent_ids": "b", "doubtful_ids": "bcd"}, None),
                ("abcde", [new], {"silent_ids": "b", "doubtful_ids": "bc"}, "acde"),
            ]
        )

    def test_enough_voters_remain_for_the_tolerated_losses(self):
        """Without a successor five voters are kept where two hosts may be lost."""
        silent = {"silent_ids": "b", "doubtful_ids": "b", "hosts": 2}
        stops = {"stopping_ids": "b", "hosts": 2}
        self.check(
            [
                ("abcdef", [], silent, "acdef"),
                ("abcde", [], silent, None),
                ("abcdef", [], stops, "acdef"),
                ("abcde", [], stops, None),
            ]
        )

    def test_a_host_that_stops_gives_its_vote_to_a_successor(self):
        """While it stops it does not get it back."""
        new, b = self.members("n", "b")
        stops = {"stopping_ids": "b"}
        self.check(
            [
                ("abcn", [], stops, "acn"),
                ("abc", [new], stops, "abcn"),
                ("acn", [b], stops, None),
                ("acn", [b], {}, "acnb"),
            ]
        )

    def test_a_host_that_lost_its_disk_is_replaced_at_its_address(self):
        """The old id is removed first."""
        (empty,) = self.members("b2")
        self.check([("abc", [empty], {}, "ac"), ("ac", [empty], {}, ["a", "c", "b2"])])

    def test_the_tolerance_counts_the_hosts_of_a_data_centre(self):
        """The loss of a data centre is the loss of all its hosts."""
        members = [Member(str(n), f"h{n}:1", f"dc{n % 3}") for n in range(6)]
        self.assertEqual(LossTolerance(1, 0).min_voters(members), 3)
        self.assertEqual(LossTolerance(1, 1).min_voters(members), 5)
        self.assertEqual(LossTolerance(1, 2).min_voters(members), 9)
