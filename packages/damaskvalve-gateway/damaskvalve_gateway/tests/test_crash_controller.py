"""Agreement of hosts on requests that crash backend servers, without a network."""

import asyncio
import unittest

from damaskvalve_core import RefusedError, boot_clock_s
from damaskvalve_core.messages import SuspectRecord
from damaskvalve_gateway._crash_controller import (
    MAX_NOTICES,
    MAX_RECORDS,
)
from damaskvalve_gateway._crashes import PENDING_TIMEOUT_S, REFUSED_AT, parts_key
from damaskvalve_gateway._incarnations import format_incarnation, parse_incarnation
from damaskvalve_gateway._part_blame import PART_REFUSED_AT_IF_SOUND
from damaskvalve_gateway._part_quarantine import check_parts
from damaskvalve_gateway._part_records import TRIALS_AFTER_S
from damaskvalve_gateway._quarantine import (
    QUARANTINE_S,
    SuspectStatus,
    updated_statuses,
)
from damaskvalve_gateway.tests.test_sync import Host


class Fleet:
    """A leader and followers; committed records reach all of them."""

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
        self.replicate()

    def replicate(self):
        now_s = boot_clock_s()
        for host in self.hosts:
            statuses = host.view.suspect_statuses
            host.view.suspect_statuses = updated_statuses(statuses, self.records, now_s)

    def sync_all(self, now_s=None):
        for host in self.hosts:
            host.sync_until_done()
        now_s = boot_clock_s() if now_s is None else now_s
        asyncio.run(self.leader.crashes._commit_changes(now_s))

    def take_over(self, host):
        """Let another host lead; the others call it from now on."""
        self.leader = host
        for other in self.hosts:
            other.state_client.leader = None if other is host else host
            other.state_client.leader_id = "L/2"


class CrashingPartTests(unittest.TestCase):
    def setUp(self):
        self.fleet = Fleet()

    def report_crashes(self, part, count, first=0):
        """Let the hosts in turn observe crashes under different requests."""
        for number in range(first, first + count):
            host = self.fleet.hosts[number % len(self.fleet.hosts)]
            at_s = boot_clock_s() - 10.0 + number
            host.crashes.note_broken(
                f"f{number}", (f"i-{number}", 1), at_s, ("shared", part)
            )

    def is_refused(self, host, *parts):
        try:
            check_parts(host.view, parts, boot_clock_s())
        except RefusedError as error:
            self.assertEqual(error.code, "crashing_prompt_part")
            return True
        return False

    def count_refusing(self, *parts):
        return sum(self.is_refused(host, *parts) for host in self.fleet.hosts)

    def test_crashes_on_several_hosts_are_added_up_and_bind_all_of_them(self):
        """Each host has seen one crash; the shared part is sound on one of them."""
        self.fleet.hosts[1].crashes.note_sound(("shared",), boot_clock_s())
        self.report_crashes("deadly", 2)
        self.fleet.sync_all()
        self.assertEqual(self.count_refusing("shared", "deadly"), 0)
        self.report_crashes("deadly", 1, first=2)
        self.fleet.hosts[1].crashes._settle(boot_clock_s(), leads=False)
        self.fleet.sync_all()
        self.fleet.sync_all()
        self.assertEqual(self.count_refusing("deadly", "other"), 3)
        self.assertEqual(self.count_refusing("shared", "other"), 0)

    def test_crashes_are_counted_on_after_all_hosts_were_restarted(self):
        """Only the committed records are left."""
        for host in self.fleet.hosts:
            host.crashes.note_sound(("shared",), boot_clock_s())
        self.report_crashes("deadly", 2)
        self.fleet.sync_all()
        records = self.fleet.records
        self.fleet = Fleet()
        self.fleet.records = records
        self.fleet.replicate()
        self.report_crashes("deadly", 1, first=2)
        self.fleet.sync_all()
        self.assertEqual(self.count_refusing("shared", "deadly"), 3)

    def test_a_part_that_was_sound_is_not_on_record_for_the_crashes_of_another(self):
        """Otherwise it would be blamed after a restart of all hosts."""
        for host in self.fleet.hosts:
            host.crashes.note_sound(("shared",), boot_clock_s() - 20.0)
        self.report_crashes("deadly", 2)
        self.fleet.sync_all()
        self.assertEqual(list(self.fleet.records), [parts_key(("deadly",))])
        self.report_crashes("deadly", 1, first=2)
        self.fleet.sync_all()
        self.assertEqual(self.count_refusing("deadly", "other"), 3)
        self.assertEqual(self.count_refusing("shared", "other"), 0)

    def test_hosts_tell_when_a_part_last_proved_sound(self):
        """The leader has not served it itself; five crashes are needed, not three."""
        for host in self.fleet.hosts[1:]:
            host.crashes.note_sound(("shared", "deadly"), boot_clock_s() - 20.0)
        for number in range(3):
            self.report_crashes("deadly", 1, first=3 * number + 1)
        self.fleet.sync_all()
        self.assertEqual(self.count_refusing("shared", "deadly"), 0)
        self.report_crashes("deadly", 2, first=20)
        self.fleet.sync_all()
        self.assertEqual(self.count_refusing("shared", "deadly"), 3)

    def test_a_proof_from_before_the_crashes_does_not_end_a_quarantine(self):
        """Each host has one; review case 13 was never refused because of them."""
        self.report_crashes("deadly", PART_REFUSED_AT_IF_SOUND)
        self.fleet.sync_all()
        for host in self.fleet.hosts:
            host.crashes.note_sound(("deadly",), boot_clock_s() - 20.0)
            host.crashes._settle(boot_clock_s(), leads=host is self.fleet.leader)
        for _ in range(2):
            self.fleet.sync_all()
            self.assertEqual(self.count_refusing("shared", "deadly"), 3)

    def test_a_refused_part_that_proves_sound_is_served_again_everywhere(self):
        """A run that had begun before the refusal is answered."""
        self.report_crashes("innocent", 3)
        self.fleet.sync_all()
        self.assertEqual(self.count_refusing("shared", "innocent"), 3)
        self.fleet.hosts[2].crashes.note_sound(("innocent", "shared"), boot_clock_s())
        self.fleet.sync_all()
        self.assertEqual(self.count_refusing("shared", "innocent"), 0)

    def quarantine(self, age_s):
        """Let the hosts have a part in quarantine for a time; return its key."""
        key = parts_key(("deadly",))
        self.fleet.records[key] = SuspectRecord(key, 3, True, [], True)
        self.fleet.replicate()
        self.set_age(key, age_s)
        return key

    def set_age(self, key, age_s):
        for host in self.fleet.hosts:
            host.view.suspect_statuses[key].since_s = boot_clock_s() - age_s

    def test_a_part_in_quarantine_gets_two_trials_on_one_host(self):
        """One request each; a sound part gets out, a crashing one ends two servers."""
        key = self.quarantine(TRIALS_AFTER_S[0] - 5.0)
        self.fleet.sync_all()
        self.assertEqual(self.count_refusing("deadly"), 3)
        for after_s in TRIALS_AFTER_S:
            self.set_age(key, after_s + 1.0)
            self.fleet.sync_all()
            self.assertEqual(self.count_refusing("deadly"), 2)
            check_parts(
                self.fleet.leader.view, ("deadly",), boot_clock_s(), before_send=True
            )
            self.assertEqual(self.count_refusing("deadly"), 3)
        self.set_age(key, 1e6)
        self.fleet.sync_all()
        self.assertEqual(self.count_refusing("deadly"), 3)

    def test_a_quarantine_of_parts_does_not_end_by_itself(self):
        """Each request with a crashing part would end one more backend server."""
        record = SuspectRecord(
            parts_key(("deadly",)), 3, True, [], True, len(TRIALS_AFTER_S)
        )
        for host in self.fleet.hosts:
            host.view.suspect_statuses = {
                record.fingerprint: SuspectStatus(record, -10 * QUARANTINE_S)
            }
        self.assertEqual(self.fleet.leader.crashes.changed_records(0.0), [])
        self.assertEqual(self.count_refusing("deadly"), 3)
        with self.assertRaises(RefusedError) as context:
            check_parts(self.fleet.leader.view, ("deadly",), boot_clock_s())
        self.assertEqual(context.exception.retry_after_s, QUARANTINE_S)

    def test_a_run_that_a_suspected_part_may_have_broken_is_not_repeated(self):
        """The repeat would end one more backend server."""
        crashes = self.fleet.leader.crashes
        self.assertTrue(crashes.may_repeat(("deadly",)))
        for number in range(2):
            crashes.note_broken(f"f{number}", (f"i-{number}", 1), 1.0, ("deadly",))
        self.assertFalse(crashes.may_repeat(("shared", "deadly")))
        self.assertTrue(crashes.may_repeat(("shared",)))
        crashes.note_sound(("deadly",), 2.0)
        self.assertTrue(crashes.may_repeat(("deadly",)))
        for number in range(2, 4):
            crashes.note_broken(f"f{number}", (f"i-{number}", 1), 3.0, ("deadly",))
        # It has been sound before, and is not refused.
        self.assertTrue(crashes.may_repeat(("deadly",)))
        self.quarantine(0.0)
        self.assertFalse(crashes.may_repeat(("deadly",)))


class CrashControllerTests(unittest.TestCase):
    def setUp(self):
        self.fleet = Fleet()

    def report_runs(self, fingerprint, count, first=0):
        """Let the hosts in turn observe broken runs of a request."""
        for number in range(first, first + count):
            host = self.fleet.hosts[number % len(self.fleet.hosts)]
            incarnation = (f"i-{number}", 1)
            host.crashes.note_broken(fingerprint, incarnation, boot_clock_s())

    def count_refusing(self, fingerprint):
        now_s = boot_clock_s()
        return sum(
            fingerprint in host.view.suspect_statuses
            and host.view.suspect_statuses[fingerprint].is_refused(now_s)
            for host in self.fleet.hosts
        )

    def test_broken_runs_on_different_hosts_add_up(self):
        """A request is refused although no single host has observed enough crashes."""
        self.report_runs("m", REFUSED_AT)
        self.assertEqual(self.count_refusing("m"), 0)
        self.fleet.sync_all()
        self.assertEqual(self.count_refusing("m"), 3)

    def test_single_broken_runs_are_not_committed(self):
        """A thousand requests that break once cause no commit and no large message."""
        for number in range(1000):
            self.report_runs(f"m-{number}", 1, first=number)
        self.fleet.sync_all()
        self.assertEqual(self.fleet.commits, [])
        calls = self.fleet.hosts[1].state_client.replies
        self.assertTrue(all(len(call.crashes) <= MAX_NOTICES for call, _ in calls))

    def test_commands_are_bounded_and_list_the_most_crashes_first(self):
        """Records beyond the limit of one command follow with the next commands."""
        for number in range(2 * MAX_RECORDS):
            self.report_runs(f"m-{number}", 2)
        self.report_runs("z", REFUSED_AT)
        self.fleet.sync_all()
        first = self.fleet.commits[0]
        self.assertEqual((len(first), first[0].fingerprint), (MAX_RECORDS, "z"))
        for _ in range(3):
            self.fleet.sync_all()
        self.assertEqual(len(self.fleet.records), 2 * MAX_RECORDS + 1)

    def test_a_new_leader_continues_from_committed_records(self):
        """Runs that hosts report to it again are not counted twice."""
        self.report_runs("m", 2)
        self.fleet.sync_all()
        self.fleet.take_over(self.fleet.hosts[1])
        self.fleet.sync_all()
        self.fleet.sync_all()
        self.assertEqual(self.fleet.records["m"].crashes, 2)
        self.assertEqual(self.count_refusing("m"), 0)
        self.report_runs("m", 1, first=2)
        self.fleet.sync_all()
        self.assertEqual(self.count_refusing("m"), 3)

    def test_cancelled_runs_count_at_the_leader_once_announcements_stop(self):
        """Callers of a slow service disconnect often, which alone proves nothing."""
        for number in range(REFUSED_AT):
            incarnation = (f"i-{number}", 1)
            self.fleet.hosts[number].crashes.note_pending(
                "m", incarnation, boot_clock_s()
            )
        self.fleet.sync_all()
        self.assertEqual(self.count_refusing("m"), 0)
        later_s = boot_clock_s() + PENDING_TIMEOUT_S
        for host in self.fleet.hosts:
            host.crashes._settle(later_s, leads=host is self.fleet.leader)
        self.fleet.sync_all()
        self.assertEqual(self.count_refusing("m"), 3)

    def test_the_leader_learns_how_long_a_run_that_was_given_up_may_last(self):
        """Until then its backend server may crash under it."""
        host, now_s = self.fleet.hosts[1], boot_clock_s()
        host.crashes.note_pending("m", ("i-1", 1), now_s, now_s + 8.0)
        host.crashes.note_pending("m", ("i-2", 1), now_s)
        may_run_s = [notice.may_run_s for notice in host.crashes.notices(now_s)]
        self.assertEqual(may_run_s, [8.0, 0.0])
        host.sync_until_done()
        runs = self.fleet.leader.crashes._tracker._pending["m"]
        self.assertAlmostEqual(runs["i-1", 1].until_s, now_s + 8.0, delta=1.0)

    def test_committed_suspects_survive_a_restart_of_all_hosts(self):
        """The next crash refuses a request although all hosts lost their own counts."""
        self.report_runs("m", 2)
        self.fleet.sync_all()
        records, self.fleet = self.fleet.records, Fleet()
        self.fleet.records = records
        self.fleet.replicate()
        self.fleet.sync_all()
        self.report_runs("m", 1, first=2)
        self.fleet.sync_all()
        self.assertEqual(self.count_refusing("m"), 3)

    def test_a_success_on_any_host_clears_a_request(self):
        """A request that is already refused is served again on all hosts."""
        self.report_runs("m", REFUSED_AT)
        self.fleet.sync_all()
        self.fleet.hosts[2].crashes.note_served("m", boot_clock_s())
        self.fleet.sync_all()
        self.assertEqual((self.count_refusing("m"), self.fleet.records), (0, {}))
        # Runs that hosts still have do not bring the record back.
        self.fleet.sync_all()
        self.assertEqual(self.fleet.records, {})

    def test_a_request_served_by_another_host_needs_more_crashes_to_be_refused(self):
        """The host that counts the crashes has not served it itself."""
        self.fleet.hosts[1].crashes.note_served("m", boot_clock_s())
        self.report_runs("m", REFUSED_AT)
        self.fleet.sync_all()
        self.assertEqual(self.count_refusing("m"), 0)

    def test_a_request_is_tried_only_once_after_quarantine(self):
        """If the request crashes one more server, it is refused again at once."""
        names = [format_incarnation((f"i-{number}", 1)) for number in range(REFUSED_AT)]
        record = SuspectRecord("m", REFUSED_AT, True, names, True)
        self.fleet.records["m"] = record
        self.fleet.replicate()
        self.fleet.sync_all()
        self.assertEqual(self.count_refusing("m"), 3)
        for host in self.fleet.hosts:
            past_s = boot_clock_s() - QUARANTINE_S
            host.view.suspect_statuses = {"m": SuspectStatus(record, past_s)}
        self.fleet.sync_all()
        self.assertEqual(self.count_refusing("m"), 0)
        self.report_runs("m", 1, first=REFUSED_AT)
        self.fleet.sync_all()
        self.assertEqual(self.count_refusing("m"), 3)

    def test_an_incarnation_is_parsed_from_its_format(self):
        """Ids with separators, and empty ones, are restored from a record."""
        for incarnation in (("i-1", 5), ("a/b/c", 1_700_000_000_000), ("", 0)):
            self.assertEqual(
                parse_incarnation(format_incarnation(incarnation)), incarnation
            )
