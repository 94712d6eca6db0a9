"""A group whose hosts are replaced for good, and which then loses a disk."""

import tempfile
import time
import unittest

from damaskvalve_state.tests.open_fleet import Fleet

# The time after a successor's start from which another host may be lost; the shortest
# of the users' deployments.
CATCH_UP_S = 4.0


class ReplacedHostTests(unittest.TestCase):
    def setUp(self):
        scratch = tempfile.TemporaryDirectory()
        self.addCleanup(scratch.cleanup)
        self.fleet = Fleet(scratch.name)
        self.addCleanup(self.fleet.stop_all)
        for number in range(3):
            self.fleet.start(number, [0, 1, 2])
        self.fleet.commit_document(1)

    def lose_a_disk_and_all_power(self, wiped, others):
        """Lose the disk of one host while the others lose power."""
        self.fleet.lose_disk(wiped)
        for number in others:
            self.fleet.stop(number)
        for number in (wiped, *others):
            self.fleet.start(number, [0, 1, 2], may_bootstrap=False)

    def test_change_survives_a_disk_lost_after_a_replacement(self):
        """The host that is gone has no vote once its successor had time to catch up."""
        fleet = self.fleet
        fleet.stop(2)
        fleet.start(3, [0, 1, 2], may_bootstrap=False)
        time.sleep(CATCH_UP_S)
        fleet.commit_document(2)
        self.lose_a_disk_and_all_power(1, [0, 3])
        fleet.commit_document(3)
        for number in (0, 1, 3):
            fleet.await_version(number, 3)

    def test_change_survives_a_disk_lost_as_a_replaced_host_is_removed(self):
        """Two of four voters are left: the disk of the third is known to be lost."""
        fleet = self.fleet
        fleet.start(3, [0, 1, 2], may_bootstrap=False)
        fleet.await_voter(3)
        fleet.commit_document(2)
        leader = fleet.leader()
        removed = next(number for number in (0, 1, 2) if number != leader)
        fleet.stop(removed)
        fleet.lose_disk(leader)
        fleet.start(leader, [0, 1, 2], may_bootstrap=False)
        fleet.commit_document(3)
        for number in {0, 1, 2, 3} - {removed}:
            fleet.await_version(number, 3)

    def test_change_survives_a_disk_lost_after_a_planned_replacement(self):
        """A host that stops hands over its vote before it ends."""
        fleet = self.fleet
        fleet.start(3, [0, 1, 2], may_bootstrap=False)
        time.sleep(CATCH_UP_S)
        fleet.stop_gracefully(2)
        fleet.commit_document(2)
        self.lose_a_disk_and_all_power(1, [0, 3])
        fleet.commit_document(3)
        for number in (0, 1, 3):
            fleet.await_version(number, 3)

    def test_group_outlives_the_replacement_of_all_hosts_in_turn(self):
        """Each next host is lost as soon as the successor had time to catch up."""
        fleet = self.fleet
        for number in range(3):
            fleet.stop(number)
            fleet.start(number + 3, [0, 1, 2, 3, 4], may_bootstrap=False)
            time.sleep(CATCH_UP_S)
            fleet.commit_document(number + 2)
        for number in (3, 4, 5):
            fleet.await_version(number, 4)

    def test_a_host_without_a_disk_is_found_after_all_its_seeds_are_gone(self):
        """After a restart it knows only seeds that have been replaced."""
        fleet = self.fleet
        fleet.start(6, [0, 1, 2], durable=False, may_bootstrap=False)
        for number in range(3):
            fleet.start(number + 3, [0, 1, 2, 3, 4], may_bootstrap=False)
            fleet.await_voter(number + 3)
            fleet.stop_gracefully(number)
        for number in (3, 4, 5, 6):
            fleet.stop(number)
        for number in (3, 4, 5):
            fleet.start(number, [0, 1, 2], may_bootstrap=False)
        fleet.start(6, [0, 1, 2], durable=False, may_bootstrap=False)
        fleet.know_addresses([3, 4, 5, 6])
        fleet.commit_document(2)
        fleet.await_version(6, 2)
