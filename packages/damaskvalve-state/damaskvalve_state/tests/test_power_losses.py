"""An open group whose members all lose power in the moment in which disks are lost."""

import unittest

from hypothesis import given, settings, strategies as st

from damaskvalve_state.tests.loss_simulation import LossGroup, run_until
from damaskvalve_state.tests.power_loss_simulation import run_disk_and_power_losses
from damaskvalve_state.tests.test_losses import FIXED, SEEDS


class PowerLossTests(unittest.TestCase):
    @settings(FIXED, max_examples=12)
    @given(seed=SEEDS, may_move=st.booleans())
    def test_group_outlives_a_lost_disk_and_the_power_of_all_others(
        self, seed, may_move
    ):
        """What was acknowledged is on the disks that are left."""
        run_disk_and_power_losses(seed, 1, may_move=may_move)

    @settings(FIXED, max_examples=4)
    @given(seed=SEEDS, may_move=st.booleans())
    def test_group_outlives_two_lost_disks_and_the_power_of_all_others(
        self, seed, may_move
    ):
        """What was acknowledged is on the disks that are left."""
        run_disk_and_power_losses(seed, 2, may_move=may_move)

    def test_a_host_replaced_before_a_loss_of_power_is_not_needed_after_it(self):
        """The others know by their logs that the list without it is committed."""
        for tolerance, size in [(1, 3), (2, 5)]:
            with self.subTest(tolerance=tolerance):
                group = LossGroup(1, size, tolerance)
                group.run(3.0)
                replaced = next(
                    host for host in group.hosts.values() if host is not group.leader()
                )
                group.add_successor(replaced.slot)
                group.run(2 * group.rule.catch_up_s)
                # No snapshot covers the list of voters that follows.
                group.proposes = False
                group.begin_stop(replaced)
                group.run(2.0)
                group.remove(replaced)
                group.run(group.rule.catch_up_s)
                lost = list(group.hosts.values())[:tolerance]
                for host in list(group.hosts.values()):
                    group.rule.lose(host.slot, group.now_s)
                    group.kill(host)
                    group.start_later(host, 1.0)
                    group.at(1.0, group.rule.give_back, host.slot, group.now_s + 1.0)
                for host in lost:
                    group.remove(host)
                    group.add_successor(host.slot)
                group.run(1.0)
                group.proposes = True
                group.last_proposal = "after-the-loss-of-power"
                run_until(group, group.has_recovered, "the group did not recover")


if __name__ == "__main__":
    unittest.main()
