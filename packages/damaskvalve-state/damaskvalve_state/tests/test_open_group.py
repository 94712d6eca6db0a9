"""An open group: bootstrap from seeds, and members without a disk."""

import tempfile
import time
import unittest

from damaskvalve_core.messages import HardState, Member
from damaskvalve_state import (
    LossTolerance,
    MembershipView,
    empty_snapshot,
    next_fixed_members,
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

    def await_voters(self, number, expected):
        """Wait until a member knows just these voters."""
        addresses = [f"127.0.0.1:{FIRST_PORT + item}" for item in expected]
        deadline_s = time.monotonic() + 12
        while self.fleet.voters(number) != addresses:
            if time.monotonic() > deadline_s:
                self.fail(f"voters are {self.fleet.voters(number)}, not {addresses}")
            time.sleep(0.05)

    def test_a_change_survives_lost_power_where_the_seeds_had_no_disk(self):
        """Votes of hosts without a disk end with their power, so they are handed over.

        One of three disks is lost at the same time.
        """
        fleet = self.fleet
        seeds = [3, 4, 5]
        for number in range(6):
            fleet.start(number, seeds, durable=number < 3)
        fleet.commit_document(1)
        self.await_voters(0, [0, 1, 2])
        fleet.commit_document(2)
        fleet.lose_disk(0)
        fleet.stop_all()
        for number in range(6):
            fleet.start(number, seeds, durable=number < 3, may_bootstrap=False)
        for number in range(6):
            fleet.await_version(number, 2)
        fleet.commit_document(3)

    def test_a_change_was_acknowledged_by_hosts_without_a_disk_alone(self):
        """Hosts with a disk start a moment later than the seeds, which have none."""
        fleet = self.fleet
        seeds = [3, 4, 5]
        for number in seeds:
            fleet.start(number, seeds, durable=False)
        # An election, and most of the time in which hosts may still join.
        with self.assertRaises(AssertionError):
            fleet.commit_document(1, within_s=2.5)
        for number in range(3):
            fleet.start(number, seeds)
        fleet.commit_document(1)
        self.assertEqual(
            fleet.voters(0), [f"127.0.0.1:{FIRST_PORT + number}" for number in range(3)]
        )

    def test_a_group_without_any_disk_outlives_the_restart_of_all_in_turn(self):
        """A host without a disk has a new id after its start, and votes again."""
        fleet = self.fleet
        for number in range(3):
            fleet.start(number, [0, 1, 2], durable=False)
        fleet.commit_document(1)
        for number in range(3):
            fleet.stop(number)
            fleet.start(number, [0, 1, 2], durable=False, may_bootstrap=False)
            fleet.await_voter(number)
            # A commit shows that the group has taken the host as a voter; until then
            # no other one may be lost.
            fleet.commit_document(number + 2)
            fleet.await_version(number, number + 2)

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

    @staticmethod
    def members_of(names):
        """Return members by letter; those in capitals have no disk."""
        return [Member(name, f"{name}:1", "dc", name.isupper()) for name in names]

    def hand_over(self, voters, learners, *, hosts, is_settled, leader="A"):
        """Apply changes until none is due; return the voters after each."""
        steps, joining = [], list(learners)
        voters, leader_id = self.members_of(voters), leader
        while True:
            view = MembershipView(
                voters,
                [item for item in self.members_of(joining) if item not in voters],
                leader_id=leader_id,
                is_settled=is_settled,
            )
            change = next_members(view, LossTolerance(hosts))
            if change is None:
                return steps
            if not change.includes(leader_id):
                leader_id = next(item for item in voters if item.memory_only is False)
                leader_id = leader_id.member_id
                continue
            voters = list(change.members)
            steps.append("".join(item.member_id for item in voters))

    def test_votes_pass_from_hosts_without_a_disk_to_those_with_one(self):
        """One at a time, and with as many voters as the tolerated losses ask for."""
        cases = [
            ("ABC", "abc", 1, False, ["ABCa", "ACa", "ACab", "Aab", "Aabc", "abc"]),
            # Hosts without a disk vote until those with one have had time to join.
            ("ABC", "a", 1, False, ["ABCa", "ACa"]),
            ("ABC", "a", 1, True, ["ABCa", "ACa", "Aa", "a"]),
            # The voters that an earlier release has left.
            ("ABCabc", "", 1, False, ["ACabc", "Aabc", "abc"]),
            # No host has a disk.
            ("ABC", "DE", 1, True, ["ABCD", "ABCDE"]),
            ("abc", "DE", 1, True, []),
        ]
        for voters, learners, hosts, is_settled, expected in cases:
            with self.subTest(voters=voters, learners=learners, is_settled=is_settled):
                steps = self.hand_over(
                    voters, learners, hosts=hosts, is_settled=is_settled
                )
                self.assertEqual(steps, expected)

    def test_no_host_without_a_disk_votes_once_enough_hosts_with_one_have_joined(self):
        """Then the disks that are left after the tolerated losses are a majority."""
        for hosts in (1, 2, 3):
            seeds, disks = "ABC", "abcdefg"[: 2 * hosts + 1]
            steps = self.hand_over(seeds, disks, hosts=hosts, is_settled=False)
            with self.subTest(hosts=hosts):
                self.assertEqual(sorted(steps[-1]), sorted(disks))
                sizes = [len(seeds), *map(len, steps)]
                changes = {abs(new - old) for old, new in zip(sizes, sizes[1:])}
                self.assertEqual(changes, {1})

    def test_a_host_without_a_disk_replaces_itself_at_fixed_addresses(self):
        """Otherwise each start takes one more vote from a group without any disk."""
        voters = [Member("a", "a:1", "dc", True), Member("b", "b:1", "dc", True)]
        again = Member("b2", "b:1", "dc", True)
        addresses = ["a:1", "b:1"]
        change = next_fixed_members(voters, [again], addresses)
        self.assertEqual([item.member_id for item in change.members], ["a"])
        change = next_fixed_members(voters[:1], [again], addresses)
        self.assertEqual([item.member_id for item in change.members], ["a", "b2"])
        durable = [Member("a", "a:1", "dc")]
        self.assertIsNone(next_fixed_members(durable, [again], addresses))

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
