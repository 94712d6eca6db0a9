"""An open group while its hosts restart, are cut off, replaced or lose their disks."""

import unittest

from hypothesis import Phase, given, settings, strategies as st

from damaskvalve_state.tests.loss_simulation import (
    LossGroup,
    LossRule,
    run_losses,
    run_overlap_of_even_voters,
    run_series,
    run_wipes_after_removal,
)

SEEDS = st.integers(min_value=0, max_value=2**32)
# A run is not shrunk: another seed gives other losses, not fewer.
FIXED = settings(
    derandomize=True, database=None, deadline=None, phases=[Phase.generate]
)


class LossRuleTests(unittest.TestCase):
    def setUp(self):
        self.rule = LossRule(1, 4.0, 12.0)

    def test_host_is_lost_until_it_has_caught_up(self):
        """Another one may be lost only then."""
        self.rule.lose("a", 10.0)
        self.assertFalse(self.rule.allows("b", 11.0))
        self.rule.give_back("a", 12.0)
        self.assertFalse(self.rule.allows("b", 15.9))
        self.assertTrue(self.rule.allows("b", 16.0))

    def test_tolerance_is_the_number_of_slots_lost_at_once(self):
        """A slot that is lost already may be lost again."""
        rule = LossRule(2, 6.0, 15.0)
        rule.lose("a", 0.0)
        self.assertTrue(rule.allows("b", 0.0))
        rule.lose("b", 0.0)
        self.assertFalse(rule.allows("c", 0.0))
        self.assertTrue(rule.allows("a", 0.0))
        rule.lose("a", 1.0)
        rule.give_back("a", 2.0)
        self.assertIn("a", rule.lost(9.0))
        rule.give_back("a", 3.0)
        self.assertNotIn("a", rule.lost(9.0))

    def test_gone_host_counts_until_its_successor_has_caught_up(self):
        """So does its disk."""
        self.rule.lose("slot", 0.0, disk="old")
        self.assertFalse(self.rule.allows("b", 2.0, disk="b", overlap=True))
        self.rule.give_back("slot", 2.0)
        self.assertEqual(self.rule.lost_disks(5.9), {"old"})
        self.assertFalse(self.rule.allows("slot", 5.9, disk="new", overlap=True))
        self.assertTrue(self.rule.allows("slot", 5.9))
        self.assertTrue(self.rule.allows("b", 6.0, disk="b"))

    def test_disk_that_is_wiped_twice_counts_once(self):
        """It is the same host, which caught up in vain."""
        self.rule.lose("a", 0.0, disk="a")
        self.rule.give_back("a", 1.0)
        self.assertTrue(self.rule.allows("a", 2.0, disk="a"))

    def test_replaced_host_counts_no_longer_than_its_successor_catches_up(self):
        """The successor started before the old host ended."""
        self.rule.lose("slot", 0.0)
        self.rule.give_back("slot", 0.0)
        self.assertEqual(self.rule.lost(3.9), {"slot"})
        self.rule.lose("slot", 5.0, disk="old")
        self.rule.give_back("slot", 7.0, catches_up=False)
        self.assertTrue(self.rule.allows("b", 7.0, disk="b"))

    def test_overlap_suspends_service_and_keeps_disks_lost(self):
        """No lost disk can be replaced before the service resumes."""
        self.rule.lose("a", 0.0, disk="a")
        self.assertTrue(self.rule.allows("b", 1.0, overlap=True))
        self.assertFalse(self.rule.allows("b", 1.0, disk="b", overlap=True))
        self.assertFalse(self.rule.suspends_service(1.0))
        self.rule.lose("b", 1.0)
        self.assertTrue(self.rule.suspends_service(1.0))
        self.rule.give_back("a", 2.0)
        self.rule.give_back("b", 8.0)
        self.assertTrue(self.rule.suspends_service(19.9))
        self.assertFalse(self.rule.allows("b", 19.9, disk="b", overlap=True))
        self.assertFalse(self.rule.suspends_service(20.0))
        self.assertTrue(self.rule.allows("b", 20.0, disk="b"))


class LossTests(unittest.TestCase):
    @settings(FIXED, max_examples=40)
    @given(seed=SEEDS)
    def test_group_survives_all_losses_within_a_tolerance_of_one(self, seed):
        """Nothing acknowledged is lost, and the service resumes in time."""
        run_losses(seed, 1)

    @settings(FIXED, max_examples=16)
    @given(seed=SEEDS)
    def test_group_survives_all_losses_within_a_tolerance_of_two(self, seed):
        """Nothing acknowledged is lost, and the service resumes in time."""
        run_losses(seed, 2)

    @settings(FIXED, max_examples=3)
    @given(seed=SEEDS, tolerance=st.sampled_from([3, 4]))
    def test_group_of_nine_survives_all_losses_within_its_tolerance(
        self, seed, tolerance
    ):
        """Nothing acknowledged is lost, and the service resumes in time."""
        run_losses(seed, tolerance)

    def check_series(self, kind):
        for tolerance, size, count in [(1, 3, 4), (2, 5, 6), (2, 6, 6), (2, 8, 6)]:
            with self.subTest(tolerance=tolerance, size=size):
                run_series(1, tolerance, size, kind, count)

    def test_hosts_gone_one_after_another_leave_a_quorum(self):
        """A host that is gone must not vote beside its successor."""
        self.check_series("gone")

    def test_a_successor_that_is_lost_at_once_leaves_a_quorum(self):
        """It does not vote beside the host that is gone, so the others suffice."""
        group = LossGroup(1, 3, 1)
        group.run(3.0)
        gone = next(host for host in group.hosts.values() if host is not group.leader())
        group.remove(gone)
        successor = group.add_successor(gone.slot)
        group.run(0.6)
        self.assertTrue(successor.has_joined)
        group.remove(successor)
        for host in group.hosts.values():
            group.kill(host)
            group.start_later(host, 0.5)
        group.run(4.0)
        before = len(group.accepted)
        group.run(2.0)
        self.assertGreater(len(group.accepted), before)

    @settings(FIXED, max_examples=60)
    @given(
        seed=SEEDS,
        between_s=st.floats(min_value=0.0, max_value=1.0),
        sizes=st.sampled_from([(1, 3), (2, 5)]),
    )
    def test_disks_lost_right_after_a_replaced_host_is_removed_leave_a_quorum(
        self, seed, between_s, sizes
    ):
        """The removed host still votes: half of an even number of voters are left."""
        tolerance, size = sizes
        run_wipes_after_removal(seed, tolerance, size, between_s)

    @settings(FIXED, max_examples=60)
    @given(seed=SEEDS, size=st.sampled_from([3, 4, 6]))
    def test_a_disk_lost_in_overlapping_cuts_of_an_even_group_loses_nothing(
        self, seed, size
    ):
        """Lists of voters that differ by two changes must not both elect."""
        run_overlap_of_even_voters(seed, size)

    def test_a_gone_host_does_not_vote_again_while_nothing_is_committed(self):
        """It holds all entries for as long as there are no new ones."""
        group = LossGroup(1, 3, 1)
        group.run(3.0)
        stopped = next(
            host for host in group.hosts.values() if host is not group.leader()
        )
        group.add_successor(stopped.slot)
        group.run(3.0)
        group.proposes = False
        group.begin_stop(stopped)
        group.run(1.0)
        group.remove(stopped)
        end_s = group.now_s + 6.0
        while group.now_s < end_s:
            group.step()
            voters = group.leader().consensus.voters()
            addresses = [voter.address for voter in voters]
            self.assertNotIn(stopped.address, addresses)

    def test_hosts_replaced_one_after_another_leave_a_quorum(self):
        """Each successor starts before the old host stops."""
        self.check_series("replace")

    def test_hosts_wiped_one_after_another_leave_a_quorum(self):
        """Each has an empty disk and the address of a voter."""
        self.check_series("wipe")


if __name__ == "__main__":
    unittest.main()
