"""Consensus with message loss, duplicates, delays, crashes, partitions, lost disks."""

import unittest

from hypothesis import given, settings, strategies as st

from damaskvalve_state.tests.fake_group import FakeGroup

SEEDS = st.integers(min_value=0, max_value=2**32)
SIZES = st.sampled_from([3, 5, 7])


def can_lose_a_host(group):
    return len(group.running_hosts()) > len(group.hosts) // 2 + 1


def inject_fault(group):
    """Inject or end a random fault."""
    rng = group.rng
    host = rng.choice(list(group.hosts.values()))
    fault = rng.choice(["crash", "start", "freeze", "cut", "heal", "isolate"])
    if fault == "crash" and can_lose_a_host(group):
        group.crash(host)
    elif fault == "start" and host.consensus is None:
        group.start_host(host)
    elif fault == "freeze":
        host.frozen_until_s = group.now_s + rng.random() * 4
    elif fault == "cut":
        other = rng.choice(list(group.hosts))
        group.cut_links.add((host.address, other))
    elif fault == "isolate":
        for other in group.hosts:
            group.cut_links.update({(host.address, other), (other, host.address)})
    elif fault == "heal":
        group.cut_links = set()


class ConsensusTests(unittest.TestCase):
    @settings(max_examples=80)
    @given(seed=SEEDS, size=SIZES)
    def test_accepted_changes_survive_crashes_partitions_and_freezes(self, seed, size):
        """No accepted change is lost, and no two hosts commit different entries."""
        group = FakeGroup(seed, size)
        for number in range(60):
            group.run(0.3)
            group.propose(f"change-{number}")
            if group.rng.random() < 0.4:
                inject_fault(group)
        group.heal()
        for host in group.hosts.values():
            self.assertLessEqual(group.accepted, set(host.applied))

    def run_until_fully_replicated(self, group):
        """Run with message loss until the host without its disk votes again."""
        for _ in range(3000):
            group.start_all_hosts()
            group.step()
            if group.is_fully_replicated():
                return
        self.fail("the host with the lost disk did not become a voter")

    @settings(max_examples=50)
    @given(seed=SEEDS, size=SIZES)
    def test_disk_lost_right_after_a_replacement_loses_no_accepted_change(
        self, seed, size
    ):
        """Disks are lost one by one, each as soon as the one before is replaced."""
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
            self.run_until_fully_replicated(group)
        group.heal()
        self.assertGreater(len(group.accepted), 15)
        for host in group.hosts.values():
            self.assertLessEqual(group.accepted, set(host.applied))

    @settings(max_examples=20)
    @given(seed=SEEDS)
    def test_majority_with_lost_disks_commits_nothing(self, seed):
        """A group with two of three disks lost stops instead of starting a new log."""
        group = FakeGroup(seed, 3, loss=0.0, crash_rate=0.0)
        group.run(5)
        group.propose("kept")
        group.run(1)
        lost = group.rng.sample(list(group.hosts.values()), 2)
        for host in lost:
            group.lose_disk(host)
        for host in lost:
            group.start_host(host)
        before = len(group.committed)
        for number in range(30):
            group.run(0.5)
            group.propose(f"lost-{number}")
        self.assertEqual(len(group.committed), before)
        self.assertIsNone(group.leader())

    @settings(max_examples=30)
    @given(seed=SEEDS, size=SIZES)
    def test_leadership_transfer_completes_within_election_timeout(self, seed, size):
        """Another host serves within an election timeout, and never two at a time."""
        group = FakeGroup(seed, size, loss=0.0, crash_rate=0.0)
        group.run(6)
        old = group.leader()
        group.propose("before")
        group.run(2)
        self.assertTrue(old.consensus.transfer_leadership(group.local_time_s(old)))
        self.assertIsNone(group.leader())
        group.flush(old)
        group.run(group.timing.election_timeout_s)
        self.assertIsNotNone(group.leader())
        self.assertIsNot(group.leader(), old)

    @settings(max_examples=30)
    @given(seed=SEEDS, size=SIZES)
    def test_hosts_started_together_elect_within_election_timeout(self, seed, size):
        """After a crash of all hosts, one leads within an election timeout."""
        group = FakeGroup(seed, size, loss=0.0, crash_rate=0.0, max_delay_s=0.01)
        group.run(6)
        group.propose("before")
        group.run(2)
        for host in group.hosts.values():
            group.crash(host)
        # Messages in flight are lost.
        group.run(0.1)
        group.start_all_hosts()
        group.run(0.9 * group.timing.election_timeout_s)
        self.assertIsNotNone(group.leader())

    def test_restarted_member_has_no_leader_contact(self):
        """It sends hellos at once, though it still respects a lease from before."""
        group = FakeGroup(1, 3, loss=0.0, crash_rate=0.0)
        group.run(6)
        host = next(item for item in group.hosts.values() if item is not group.leader())
        self.assertTrue(host.consensus.has_leader_contact(group.local_time_s(host)))
        group.crash(host)
        group.start_host(host)
        self.assertFalse(host.consensus.has_leader_contact(group.local_time_s(host)))

    @settings(max_examples=60)
    @given(seed=SEEDS, size=SIZES)
    def test_simultaneous_voter_restarts_do_not_break_leader_lease(self, seed, size):
        """Followers restart while the leader may be partitioned; two never serve."""
        group = FakeGroup(seed, size, loss=0.05, crash_rate=0.0)
        for _ in range(12):
            group.run(group.rng.random() * 1.5)
            leader = group.leader()
            for host in group.hosts.values():
                if host is not leader and group.rng.random() < 0.8:
                    group.crash(host)
            if leader is not None and group.rng.random() < 0.5:
                for other in group.hosts:
                    group.cut_links.add((leader.address, other))
                    group.cut_links.add((other, leader.address))
            group.start_all_hosts()
            # Each step checks that at most one leader serves.
            group.run(1.2)
            group.cut_links = set()

    @settings(max_examples=30)
    @given(seed=SEEDS, size=SIZES)
    def test_repeated_leadership_transfers_lose_no_accepted_change(self, seed, size):
        """Messages are lost, duplicated and delayed meanwhile."""
        group = FakeGroup(seed, size, loss=0.1)
        for number in range(40):
            group.run(0.4)
            group.propose(f"change-{number}")
            leader = group.leader()
            if leader is not None and group.rng.random() < 0.4:
                leader.consensus.transfer_leadership(group.local_time_s(leader))
                group.flush(leader)
        group.heal()
        for host in group.hosts.values():
            self.assertLessEqual(group.accepted, set(host.applied))

    @settings(max_examples=20)
    @given(seed=SEEDS, size=SIZES)
    def test_partitioned_leader_neither_serves_nor_disrupts_on_return(self, seed, size):
        """Pre-vote keeps the term and the new leader when the old one returns."""
        group = FakeGroup(seed, size, loss=0.0, crash_rate=0.0)
        group.run(6)
        old = group.leader()
        for other in group.hosts:
            if other != old.address:
                group.cut_links.update({(old.address, other), (other, old.address)})
        group.run(6)
        self.assertFalse(old.consensus.may_serve(group.local_time_s(old)))
        new = group.leader()
        self.assertIsNotNone(new)
        term = new.consensus.term
        group.run(30)
        group.cut_links = set()
        group.run(10)
        self.assertEqual(group.leader().consensus.term, term)

    @settings(max_examples=20)
    @given(seed=SEEDS, size=SIZES)
    def test_member_without_leader_contact_cannot_depose_leader(self, seed, size):
        """One host gets no messages of the leader; the others still follow it."""
        group = FakeGroup(seed, size, loss=0.0, crash_rate=0.0)
        group.run(6)
        leader = group.leader()
        follower = next(host for host in group.hosts.values() if host is not leader)
        group.cut_links.add((leader.address, follower.address))
        group.run(15)
        self.assertIs(group.leader(), leader)

    @settings(max_examples=10)
    @given(seed=SEEDS)
    def test_in_flight_appends_stay_bounded_under_load(self, seed):
        """Heartbeats sent while a request is unanswered repeat none of its entries."""
        group = FakeGroup(seed, 3, loss=0.0, crash_rate=0.0)
        group.run(5)
        peak = 0
        for number in range(200):
            group.propose(f"change-{number}")
            group.step()
            append_requests = [
                item for item in group.queue if getattr(item[3], "entries", ())
            ]
            peak = max(peak, len(append_requests))
        self.assertLessEqual(peak, 8)

    @settings(max_examples=20)
    @given(seed=SEEDS)
    def test_restarted_voters_wait_for_the_old_lease_before_voting(self, seed):
        """A vote right after a restart could elect a leader during a running lease."""
        group = FakeGroup(seed, 3, loss=0.0, crash_rate=0.0)
        group.run(5)
        leader = group.leader()
        others = [h for h in group.hosts.values() if h is not leader]
        for host in others:
            group.cut_links.update({(leader.address, host.address)})
            group.cut_links.update({(host.address, leader.address)})
            group.crash(host)
            group.start_host(host)
        group.run(12)
        self.assertIsNotNone(group.leader())


if __name__ == "__main__":
    unittest.main()
