"""How hosts come to agree on requests that end backend servers, without a network."""

import asyncio
import unittest

from damaskvalve_core import boot_clock_s
from damaskvalve_core.messages import SuspectRecord
from damaskvalve_gateway._crash_controller import (
    MAX_NOTICES,
    MAX_RECORDS,
    read_start,
    start_name,
)
from damaskvalve_gateway._crashes import MISSED_S, REFUSED_AT
from damaskvalve_gateway._quarantine import QUARANTINE_S, SuspectStatus, renewed
from damaskvalve_gateway.tests.test_sync import Host


class Fleet:
    """A leader and followers; what is committed reaches all of them."""

    def __init__(self, followers=2):
        self.leader = Host(1)
        self.hosts = [self.leader]
        self.hosts += [Host(number + 2, self.leader) for number in range(followers)]
        self.records = {}
        self.commits = []
        for host in self.hosts:
            host.state_client.commit = self.commit

    async def commit(self, command):
        suspects = command.record_suspects.suspects
        self.commits.append(suspects)
        for suspect in suspects:
            self.records.pop(suspect.fingerprint, None)
            if suspect.crashes:
                self.records[suspect.fingerprint] = suspect
        self.spread()

    def spread(self):
        now_s = boot_clock_s()
        for host in self.hosts:
            held = host.view.suspect_statuses
            host.view.suspect_statuses = renewed(held, self.records, now_s)

    def exchange(self, now_s=None):
        for host in self.hosts:
            host.exchange()
        now_s = boot_clock_s() if now_s is None else now_s
        asyncio.run(self.leader.crashes._lead(now_s))

    def take_over(self, host):
        """Let another host lead; the others call it from now on."""
        self.leader = host
        for other in self.hosts:
            other.state_client.leader = None if other is host else host
            other.state_client.leader_id = "L/2"


class CrashControllerTests(unittest.TestCase):
    def setUp(self):
        self.fleet = Fleet()

    def see(self, fingerprint, count, first=0):
        """Let one host after the other see runs of a request that did not end."""
        for number in range(first, first + count):
            host = self.fleet.hosts[number % len(self.fleet.hosts)]
            start = (f"i-{number}", 1)
            host.crashes.note_broken(fingerprint, start, boot_clock_s())

    def refusing(self, fingerprint):
        now_s = boot_clock_s()
        return sum(
            fingerprint in host.view.suspect_statuses
            and host.view.suspect_statuses[fingerprint].is_refused(now_s)
            for host in self.fleet.hosts
        )

    def test_all_hosts_refuse_what_each_has_seen_once(self):
        """No host has seen enough by itself."""
        self.see("m", REFUSED_AT)
        self.assertEqual(self.refusing("m"), 0)
        self.fleet.exchange()
        self.assertEqual(self.refusing("m"), 3)

    def test_nothing_is_told_to_all_hosts_of_requests_that_break_once(self):
        """However many different ones break in one second."""
        for number in range(1000):
            self.see(f"m-{number}", 1, first=number)
        self.fleet.exchange()
        self.assertEqual(self.fleet.commits, [])
        calls = self.fleet.hosts[1].state_client.replies
        self.assertTrue(all(len(call.crashes) <= MAX_NOTICES for call, _ in calls))

    def test_a_command_is_bounded_and_the_gravest_go_first(self):
        """The others follow with the next ones."""
        for number in range(2 * MAX_RECORDS):
            self.see(f"m-{number}", 2)
        self.see("z", REFUSED_AT)
        self.fleet.exchange()
        first = self.fleet.commits[0]
        self.assertEqual((len(first), first[0].fingerprint), (MAX_RECORDS, "z"))
        for _ in range(3):
            self.fleet.exchange()
        self.assertEqual(len(self.fleet.records), 2 * MAX_RECORDS + 1)

    def test_a_new_leader_goes_on_from_what_was_committed(self):
        """What hosts tell it again is not counted twice."""
        self.see("m", 2)
        self.fleet.exchange()
        self.fleet.take_over(self.fleet.hosts[1])
        self.fleet.exchange()
        self.fleet.exchange()
        self.assertEqual(self.fleet.records["m"].crashes, 2)
        self.assertEqual(self.refusing("m"), 0)
        self.see("m", 1, first=2)
        self.fleet.exchange()
        self.assertEqual(self.refusing("m"), 3)

    def test_runs_that_were_given_up_count_at_the_leader_when_it_misses_servers(self):
        """Callers of a slow service leave all the time, and say nothing by that."""
        for number in range(REFUSED_AT):
            start = (f"i-{number}", 1)
            self.fleet.hosts[number].crashes.note_pending("m", start, boot_clock_s())
        self.fleet.exchange()
        self.assertEqual(self.refusing("m"), 0)
        later_s = boot_clock_s() + MISSED_S
        for host in self.fleet.hosts:
            host.crashes._settle(later_s, leads=host is self.fleet.leader)
        self.fleet.exchange()
        self.assertEqual(self.refusing("m"), 3)

    def test_a_restart_of_all_hosts_loses_nothing_that_was_committed(self):
        """Their own counts are gone then."""
        self.see("m", 2)
        self.fleet.exchange()
        records, self.fleet = self.fleet.records, Fleet()
        self.fleet.records = records
        self.fleet.spread()
        self.fleet.exchange()
        self.see("m", 1, first=2)
        self.fleet.exchange()
        self.assertEqual(self.refusing("m"), 3)

    def test_a_run_that_ends_well_anywhere_clears_a_request(self):
        """Also when it is refused already."""
        self.see("m", REFUSED_AT)
        self.fleet.exchange()
        self.fleet.hosts[2].crashes.note_served("m", boot_clock_s())
        self.fleet.exchange()
        self.assertEqual((self.refusing("m"), self.fleet.records), (0, {}))
        # Nothing of it comes back with what hosts still hold.
        self.fleet.exchange()
        self.assertEqual(self.fleet.records, {})

    def test_a_request_that_others_saw_end_well_needs_more_to_be_refused(self):
        """The host that counts has not served it itself."""
        self.fleet.hosts[1].crashes.note_served("m", boot_clock_s())
        self.see("m", REFUSED_AT)
        self.fleet.exchange()
        self.assertEqual(self.refusing("m"), 0)

    def test_after_its_time_a_request_is_tried_once_and_not_oftener(self):
        """If that ends one more server it is refused again at once."""
        starts = [start_name((f"i-{number}", 1)) for number in range(REFUSED_AT)]
        record = SuspectRecord("m", REFUSED_AT, True, starts, True)
        self.fleet.records["m"] = record
        self.fleet.spread()
        self.fleet.exchange()
        self.assertEqual(self.refusing("m"), 3)
        for host in self.fleet.hosts:
            past_s = boot_clock_s() - QUARANTINE_S
            host.view.suspect_statuses = {"m": SuspectStatus(record, past_s)}
        self.fleet.exchange()
        self.assertEqual(self.refusing("m"), 0)
        self.see("m", 1, first=REFUSED_AT)
        self.fleet.exchange()
        self.assertEqual(self.refusing("m"), 3)

    def test_a_start_is_read_back_from_its_name(self):
        """Whatever its id holds."""
        for start in (("i-1", 5), ("a/b/c", 1_700_000_000_000), ("", 0)):
            self.assertEqual(read_start(start_name(start)), start)
