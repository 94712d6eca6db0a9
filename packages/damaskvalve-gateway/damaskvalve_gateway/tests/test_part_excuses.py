"""Sound requests beside others whose prompts hold a part that crashes servers."""

import unittest

from damaskvalve_core import boot_clock_s
from damaskvalve_core.messages import SuspectRecord
from damaskvalve_gateway._crashes import EXCUSED_RUNS, REFUSED_AT, CrashTracker
from damaskvalve_gateway._incarnations import format_incarnation
from damaskvalve_gateway.tests.test_crash_controller import Fleet

CRASH_INTERVAL_S = 2.5
SOUND = tuple(f"sound-{number}" for number in range(8))
# Of its prompt, the sound requests share the first part with the crashing ones.
SOUND_PARTS = ("shared", "topic")
DEADLY_PARTS = ("shared", "deadly")


def incarnation(number):
    return f"i-{number}", 1


def crash(note_run, number, at_s, victims=SOUND):
    """Count the runs that broke with one backend server."""
    note_run(f"deadly-{number}", incarnation(number), at_s, parts=DEADLY_PARTS)
    for name in victims:
        note_run(name, incarnation(number), at_s, parts=(*SOUND_PARTS, name))


def note_ended(tracker, numbers):
    for name in SOUND:
        for number in numbers:
            tracker.note_ended(name, incarnation(number))


class ExcusedRequestTests(unittest.TestCase):
    def setUp(self):
        self.tracker = CrashTracker()

    def crash(self, numbers, victims=SOUND):
        for number in numbers:
            at_s = 1.0 + CRASH_INTERVAL_S * number
            crash(self.tracker.note_run, number, at_s, victims)

    def test_requests_that_a_blamed_part_cut_off_three_times_are_served(self):
        """Guards against LOST, review case 7: all of them were refused for 600 s."""
        self.crash(range(REFUSED_AT))
        note_ended(self.tracker, range(REFUSED_AT))
        for name in SOUND:
            self.assertFalse(self.tracker.is_refused(name))
            self.assertFalse(self.tracker.is_proved(name))

    def test_a_request_that_holds_the_part_is_not_excused_by_it(self):
        """It may be to blame itself, and the part is refused anyway."""
        self.crash(range(REFUSED_AT), victims=())
        for number in range(REFUSED_AT):
            self.tracker.note_run(
                "same", incarnation(number), 9.0, parts=(*DEADLY_PARTS, "own")
            )
        self.assertTrue(self.tracker.is_refused("same"))

    def test_a_crashing_request_is_excused_for_a_few_runs_only(self):
        """Crashes of a part beside it put off its refusal by EXCUSED_RUNS."""
        self.crash(range(REFUSED_AT + EXCUSED_RUNS), victims=("crashing",))
        self.assertTrue(self.tracker.is_refused("crashing"))

    def test_crashes_that_the_part_does_not_explain_count(self):
        """The other crashes suffice to refuse the request."""
        self.crash(range(REFUSED_AT), victims=("crashing",))
        for number in range(10, 10 + REFUSED_AT):
            self.tracker.note_run(
                "crashing", incarnation(number), 20.0, parts=(*SOUND_PARTS, "crashing")
            )
        self.assertTrue(self.tracker.is_refused("crashing"))

    def test_a_part_that_is_not_blamed_yet_excuses_nothing(self):
        """Two crashes may be accidents."""
        for number in range(REFUSED_AT):
            at_s = 1.0 + CRASH_INTERVAL_S * number
            self.tracker.note_run("a", incarnation(number), at_s, parts=("p", "a"))
            if number < REFUSED_AT - 1:
                self.tracker.note_run(
                    f"b{number}", incarnation(number), at_s, parts=("q", "b")
                )
        self.assertTrue(self.tracker.is_refused("a"))


class QuarantineTests(unittest.TestCase):
    def test_a_quarantine_ends_once_a_part_is_blamed_for_its_crashes(self):
        """The reports on the crashing requests may come after the others."""
        fleet = Fleet()
        crashes = fleet.leader.crashes
        began_s = boot_clock_s() - 10.0
        for number in range(REFUSED_AT):
            at_s = began_s + CRASH_INTERVAL_S * number
            for name in SOUND:
                crashes.note_broken(
                    name, incarnation(number), at_s, (*SOUND_PARTS, name)
                )
        note_ended(fleet.leader.view.crashes, range(REFUSED_AT))
        fleet.sync_all()
        self.assertTrue(all(fleet.records[name].quarantined for name in SOUND))
        for number in range(REFUSED_AT):
            at_s = began_s + CRASH_INTERVAL_S * number
            crashes.note_broken(
                f"deadly-{number}", incarnation(number), at_s, DEADLY_PARTS
            )
        fleet.sync_all()
        for name in SOUND:
            record = fleet.records.get(name)
            self.assertFalse(record is not None and record.quarantined, name)
            self.assertFalse(record is not None and record.refused, name)

    def test_a_quarantine_of_before_a_restart_is_kept(self):
        """The committed record is all that is left of its crashes."""
        fleet = Fleet()
        names = [format_incarnation(incarnation(n)) for n in range(REFUSED_AT)]
        record = SuspectRecord("crashing", REFUSED_AT, True, names, True)
        fleet.records = {"crashing": record}
        fleet.replicate()
        fleet.sync_all()
        self.assertTrue(fleet.records["crashing"].quarantined)
