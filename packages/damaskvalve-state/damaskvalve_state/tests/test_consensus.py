"""Agreement under lost, doubled and late messages, crashes, cuts and lost disks."""

import unittest

from hypothesis import given, settings, strategies as st

from damaskvalve_state.tests.fake_group import FakeGroup

SEEDS = st.integers(min_value=0, max_value=2**32)
SIZES = st.sampled_from([3, 5, 7])


def majority_up(group):
    return len(group.up()) > len(group.hosts) // 2 + 1


def break_something(group):
    """Do one random thing that the brief names."""
    rng = group.rng
    host = rng.choice(list(group.hosts.values()))
    what = rng.choice(["crash", "boot", "freeze", "cut", "mend", "silence"])
    if what == "crash" and majority_up(group):
        group.crash(host)
    elif what == "boot" and host.consensus is None:
        group.boot(host)
    elif what == "freeze":
        host.frozen_until_s = group.now_s + rng.random() * 4
    elif what == "cut":
        other = rng.choice(list(group.hosts))
        group.cut.add((host.address, other))
    elif what == "silence":
        for other in group.hosts:
            group.cut.update({(host.address, other), (other, host.address)})
    elif what == "mend":
        group.cut = set()


class ConsensusTests(unittest.TestCase):
    @settings(max_examples=80)
    @given(seed=SEEDS, size=SIZES)
    def test_accepted_changes_survive_crashes_partitions_and_freezes(self, seed, size):
        """No accepted change is lost and no two hosts disagree."""
        group = FakeGroup(seed, size)
        for number in range(60):
            group.run(0.3)
            group.propose(f"change-{number}")
            if group.rng.random() < 0.4:
                break_something(group)
        group.heal()
        for host in group.hosts.values():
            self.assertLessEqual(group.accepted, set(host.applied))

    def run_until_whole(self, group):
        """Run with message loss until the lost disk is replaced."""
        for _ in range(3000):
            group.boot_all()
            group.step()
            if group.is_whole():
                return
        self.fail("the lost disk was not replaced")

    @settings(max_examples=50)
    @given(seed=SEEDS, size=SIZES)
    def test_disk_lost_right_after_a_replacement_loses_no_accepted_change(
        self, seed, size
    ):
        """Disks are lost one after the other, each as soon as the group is whole."""
        group = FakeGroup(seed, size, loss=0.05)
        number = 0
        for _ in range(size + 1):
            for _ in range(15):
                group.run(0.15)
                group.propose(f"change-{number}")
                number += 1
            victim = group.rng.choice(list(group.hosts.values()))
            group.lose_disk(victim)
            group.run(group.rng.random() * 2)
            self.run_until_whole(group)
        group.heal()
        self.assertGreater(len(group.accepted), 15)
        for host in group.hosts.values():
            self.assertLessEqual(group.accepted, set(host.applied))

    @settings(max_examples=20)
    @given(seed=SEEDS)
    def test_majority_with_lost_disks_commits_nothing(self, seed):
        """Two of three lost disks stop the group instead of starting it anew."""
        group = FakeGroup(seed, 3, loss=0.0, crash_rate=0.0)
        group.run(5)
        group.propose("kept")
        group.run(1)
        lost = group.rng.sample(list(group.hosts.values()), 2)
        for host in lost:
            group.lose_disk(host)
        for host in lost:
            group.boot(host)
        before = len(group.committed)
        for number in range(30):
            group.run(0.5)
            group.propose(f"lost-{number}")
        self.assertEqual(len(group.committed), before)
        self.assertIsNone(group.leader())

    @settings(max_examples=30)
    @given(seed=SEEDS, size=SIZES)
    def test_leadership_transfer_completes_within_election_timeout(self, seed, size):
        """Another host serves sooner than an election time-out, and only one does."""
        group = FakeGroup(seed, size, loss=0.0, crash_rate=0.0)
        group.run(6)
        old = group.leader()
        group.propose("before")
        group.run(2)
        self.assertTrue(old.consensus.transfer_leadership(group.local(old)))
        self.assertIsNone(group.leader())
        group.flush(old)
        group.run(group.timing.election_timeout_s)
        self.assertIsNotNone(group.leader())
        self.assertIsNot(group.leader(), old)

    @settings(max_examples=30)
    @given(seed=SEEDS, size=SIZES)
    def test_hosts_started_together_elect_within_election_timeout(self, seed, size):
        """After a crash of all one leads sooner than an election time-out."""
        group = FakeGroup(seed, size, loss=0.0, crash_rate=0.0, most_delay_s=0.01)
        group.run(6)
        group.propose("before")
        group.run(2)
        for host in group.hosts.values():
            group.crash(host)
        # What was on its way reaches nobody.
        group.run(0.1)
        group.boot_all()
        group.run(0.9 * group.timing.election_timeout_s)
        self.assertIsNotNone(group.leader())

    def test_restarted_member_has_no_leader_contact(self):
        """It looks for one at once, though it still keeps an older promise."""
        group = FakeGroup(1, 3, loss=0.0, crash_rate=0.0)
        group.run(6)
        host = next(item for item in group.hosts.values() if item is not group.leader())
        self.assertTrue(host.consensus.has_leader_contact(group.local(host)))
        group.crash(host)
        group.boot(host)
        self.assertFalse(host.consensus.has_leader_contact(group.local(host)))

    @settings(max_examples=60)
    @given(seed=SEEDS, size=SIZES)
    def test_simultaneous_voter_restarts_do_not_break_leader_lease(self, seed, size):
        """All but the leader restart, which may be cut off: never do two serve."""
        group = FakeGroup(seed, size, loss=0.05, crash_rate=0.0)
        for _ in range(12):
            group.run(group.rng.random() * 1.5)
            leader = group.leader()
            for host in group.hosts.values():
                if host is not leader and group.rng.random() < 0.8:
                    group.crash(host)
            if leader is not None and group.rng.random() < 0.5:
                for other in group.hosts:
                    group.cut.add((leader.address, other))
                    group.cut.add((other, leader.address))
            group.boot_all()
            # Each step checks that no two serve.
            group.run(1.2)
            group.cut = set()

    @settings(max_examples=30)
    @given(seed=SEEDS, size=SIZES)
    def test_repeated_leadership_transfers_lose_no_accepted_change(self, seed, size):
        """Also while messages are lost, doubled and late."""
        group = FakeGroup(seed, size, loss=0.1)
        for number in range(40):
            group.run(0.4)
            group.propose(f"change-{number}")
            leader = group.leader()
            if leader is not None and group.rng.random() < 0.4:
                leader.consensus.transfer_leadership(group.local(leader))
                group.flush(leader)
        group.heal()
        for host in group.hosts.values():
            self.assertLessEqual(group.accepted, set(host.applied))

    @settings(max_examples=20)
    @given(seed=SEEDS, size=SIZES)
    def test_partitioned_leader_neither_serves_nor_disrupts_on_return(self, seed, size):
        """Pre-vote keeps the term and the leader when the host returns."""
        group = FakeGroup(seed, size, loss=0.0, crash_rate=0.0)
        group.run(6)
        old = group.leader()
        for other in group.hosts:
            if other != old.address:
                group.cut.update({(old.address, other), (other, old.address)})
        group.run(6)
        self.assertFalse(old.consensus.may_serve(group.local(old)))
        new = group.leader()
        self.assertIsNotNone(new)
        term = new.consensus.term
        group.run(30)
        group.cut = set()
        group.run(10)
        self.assertEqual(group.leader().consensus.term, term)

    @settings(max_examples=20)
    @given(seed=SEEDS, size=SIZES)
    def test_member_without_leader_contact_cannot_depose_leader(self, seed, size):
        """One host does not hear the leader; the others still follow it."""
        group = FakeGroup(seed, size, loss=0.0, crash_rate=0.0)
        group.run(6)
        leader = group.leader()
        deaf = next(host for host in group.hosts.values() if host is not leader)
        group.cut.add((leader.address, deaf.address))
        group.run(15)
        self.assertIs(group.leader(), leader)

    @settings(max_examples=10)
    @given(seed=SEEDS)
    def test_in_flight_appends_stay_bounded_under_load(self, seed):
        """Heartbeats beside an unanswered request add no copies of its entries."""
        group = FakeGroup(seed, 3, loss=0.0, crash_rate=0.0)
        group.run(5)
        most = 0
        for number in range(200):
            group.propose(f"change-{number}")
            group.step()
            carried = [item for item in group.queue if getattr(item[3], "entries", ())]
            most = max(most, len(carried))
        self.assertLessEqual(most, 8)

    @settings(max_examples=20)
    @given(seed=SEEDS)
    def test_restarted_voters_wait_for_the_old_lease_before_voting(self, seed):
        """A vote right after a restart could end a lease that still runs."""
        group = FakeGroup(seed, 3, loss=0.0, crash_rate=0.0)
        group.run(5)
        leader = group.leader()
        others = [h for h in group.hosts.values() if h is not leader]
        for host in others:
            group.cut.update({(leader.address, host.address)})
            group.cut.update({(host.address, leader.address)})
            group.crash(host)
            group.boot(host)
        group.run(12)
        self.assertIsNotNone(group.leader())


if __name__ == "__main__":
    unittest.main()
