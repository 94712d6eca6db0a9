"""What a member reports about the voters of its group."""

import unittest

from damaskvalve_state._group_reporter import GroupReporter
from damaskvalve_state.tests.fake_group import FakeGroup


class GroupReporterTests(unittest.TestCase):
    def setUp(self):
        self.group = FakeGroup(seed=1, size=3, loss=0.0, crash_rate=0.0)
        self.events = []
        self.reporters = {
            address: GroupReporter(self.collector(address), 0.0)
            for address in self.group.hosts
        }
        self.run_observed(5.0)

    def collector(self, address):
        return lambda kind, fields: self.events.append((address, kind, fields))

    def run_observed(self, seconds):
        end_s = self.group.now_s + seconds
        while self.group.now_s < end_s:
            self.group.step()
            for host in self.group.running_hosts():
                now_s = self.group.local_time_s(host)
                self.reporters[host.address].observe(host.consensus, now_s)

    def kinds(self, address):
        return [kind for source, kind, _ in self.events if source == address]

    def test_each_member_reports_the_voters_and_the_leader_once(self):
        """Nothing is repeated while nothing changes."""
        leader = self.group.leader().address
        for address in self.group.hosts:
            fields = [f for source, kind, f in self.events if source == address]
            self.assertIn(leader, [item.get("leader") for item in fields])
            self.assertEqual(self.kinds(address).count("follows"), 1)
        before = len(self.events)
        self.run_observed(5.0)
        self.assertEqual(len(self.events), before)

    def test_a_silent_voter_is_named_once_and_again_when_it_answers(self):
        """On-call can see when a host was lost and when it was back."""
        leader = self.group.leader().address
        lost = next(item for item in self.group.hosts if item != leader)
        self.group.crash(self.group.hosts[lost])
        self.run_observed(4.0)
        silent = [f for _, kind, f in self.events if kind == "voter_silent"]
        self.assertEqual([item["voter"] for item in silent], [lost])
        self.group.start_host(self.group.hosts[lost])
        self.run_observed(4.0)
        regained = [f for _, kind, f in self.events if kind == "voter_regained"]
        self.assertEqual([item["voter"] for item in regained], [lost])

    def test_a_member_that_lags_is_named_once_and_again_when_it_has_caught_up(self):
        """On-call can see which host lacks committed entries, and since when."""
        leader = self.group.leader().address
        lost = next(item for item in self.group.hosts if item != leader)
        self.group.crash(self.group.hosts[lost])
        self.group.propose("a")
        self.run_observed(4.0)
        lags = [f for _, kind, f in self.events if kind == "member_lags"]
        self.assertEqual([item["peer"] for item in lags], [lost])
        self.assertGreater(lags[0]["lacking_entries"], 0)
        self.group.start_host(self.group.hosts[lost])
        self.run_observed(4.0)
        caught_up = [f for _, kind, f in self.events if kind == "member_caught_up"]
        self.assertEqual([item["peer"] for item in caught_up], [lost])

    def test_a_member_without_a_quorum_names_the_voters_it_lacks(self):
        """The line is repeated every few seconds for as long as it lasts."""
        leader = self.group.leader().address
        lost = sorted(item for item in self.group.hosts if item != leader)
        for address in lost:
            self.group.crash(self.group.hosts[address])
        self.run_observed(14.0)
        lines = [f for _, kind, f in self.events if kind == "no_leader"]
        self.assertIn(len(lines), (2, 3))
        self.assertEqual(sorted(lines[-1]["lacking"].split()), lost)
