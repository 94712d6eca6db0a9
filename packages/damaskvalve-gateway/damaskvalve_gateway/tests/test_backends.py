"""Announcements in any order, time-outs of announcements, and connection failures."""

import unittest

from damaskvalve_gateway._backend import ANNOUNCEMENT_TIMEOUT_S
from damaskvalve_gateway._backends import ANNOUNCEMENT_OVERDUE_S, BackendTable
from damaskvalve_gateway._model import GONE, LEAVING, READY, Announcement


def announcement(
    sequence,
    state=READY,
    started_at_ms=1,
    name="i-1",
    address="10.0.0.1:80",
    resident=(),
):
    return Announcement(
        name, "svc", address, "dc", state, started_at_ms, sequence, 64, resident
    )


class BackendTableTests(unittest.TestCase):
    def live(self, table, now_s, stale=False):
        found = table.live("svc", now_s, stale=stale)
        return [item.announcement.instance_id for item in found]

    def test_an_older_announcement_does_not_undo_a_newer_one(self):
        """A delayed 'ready' does not bring a leaving backend server back."""
        table = BackendTable()
        table.update(announcement(5, LEAVING), 1.0)
        self.assertFalse(table.update(announcement(4), 2.0))
        self.assertEqual(self.live(table, 2.0), [])

    def test_a_gone_incarnation_stays_gone(self):
        """A delayed announcement with a higher sequence does not bring it back."""
        table = BackendTable()
        table.update(announcement(5), 1.0)
        table.end("i-1", 1.5)
        self.assertFalse(table.update(announcement(9), 2.0))
        self.assertEqual(table.find("i-1").announcement.state, GONE)

    def test_a_new_incarnation_replaces_the_old_one_under_its_id(self):
        """The sequence restarts; later announcements of the old one are ignored."""
        table = BackendTable()
        table.update(announcement(50), 1.0)
        self.assertTrue(table.update(announcement(1, started_at_ms=2), 2.0))
        self.assertFalse(table.update(announcement(51), 3.0))
        self.assertEqual(self.live(table, 3.0), ["i-1"])

    def test_a_timed_out_backend_is_live_only_for_a_host_that_is_cut_off(self):
        """A host that receives no announcements keeps using what it knew."""
        table = BackendTable()
        table.update(announcement(1), 1.0)
        later_s = 1.0 + ANNOUNCEMENT_TIMEOUT_S + 0.1
        self.assertEqual(self.live(table, later_s), [])
        self.assertEqual(self.live(table, later_s, stale=True), ["i-1"])

    def test_only_the_newest_incarnation_at_an_address_is_live(self):
        """Another instance may reuse an address."""
        table = BackendTable()
        table.update(announcement(7, name="i-1", started_at_ms=1), 1.0)
        table.update(announcement(1, name="i-2", started_at_ms=9), 1.2)
        self.assertEqual(self.live(table, 1.5), ["i-2"])

    def test_each_change_is_published_once(self):
        """A host that is up to date is sent nothing again."""
        table = BackendTable()
        table.update(announcement(1), 1.0)
        seen = table.revision
        self.assertEqual(table.changed_since(seen), [])
        table.update(announcement(2, LEAVING), 2.0)
        self.assertEqual(len(table.changed_since(seen)), 1)
        self.assertEqual(table.changed_since(table.revision), [])

    def test_an_unchanged_announcement_is_not_published(self):
        """Only an announcement after an overdue one is published without a change."""
        table = BackendTable()
        table.update(announcement(1), 1.0)
        seen = table.revision
        table.update(announcement(2), 2.0)
        self.assertEqual(table.changed_since(seen), [])
        self.assertEqual(
            table.overdue(2.0 + ANNOUNCEMENT_OVERDUE_S + 1),
            {"i-1": ANNOUNCEMENT_OVERDUE_S + 1},
        )
        table.update(announcement(3), 2.0 + ANNOUNCEMENT_OVERDUE_S + 1)
        self.assertEqual(len(table.changed_since(seen)), 1)

    def test_resident_adapters_are_published_at_a_limited_rate(self):
        """Suppressed changes are published with the next announcement that is due."""
        table = BackendTable()
        table.resident_interval_s = 5.0
        published = []
        for step in range(1, 21):
            seen = table.revision
            table.update(announcement(step, resident=(f"m/a{step}@1",)), float(step))
            published.extend([step] * len(table.changed_since(seen)))
        self.assertEqual(published, [1, 6, 11, 16])

    def test_backends_that_the_leader_does_not_report_overdue_stay_live(self):
        """A host learns of an overdue backend server once the leader reports it."""
        table = BackendTable()
        table.update(announcement(1, name="i-1", address="10.0.0.1:80"), 0.0)
        table.update(announcement(1, name="i-2", address="10.0.0.2:80"), 0.0)
        table.note_listed(("i-1", "i-2"), "L/1")
        for step in range(1, 31):
            overdue = {"i-2": float(step)} if step > ANNOUNCEMENT_OVERDUE_S else {}
            table.confirm_live(overdue, "L/1", float(step))
            both = step < ANNOUNCEMENT_TIMEOUT_S
            found = self.live(table, float(step))
            self.assertEqual(found, ["i-1", "i-2"] if both else ["i-1"], step)

    def test_a_timed_out_backend_returns_only_by_an_announcement(self):
        """It stays timed out although the leader does not report it as overdue.

        The leader may have expired it too.
        """
        table = BackendTable()
        table.update(announcement(1), 0.0)
        table.note_listed(("i-1",), "L/1")
        late_s = ANNOUNCEMENT_TIMEOUT_S + 1
        table.confirm_live({}, "L/1", late_s)
        self.assertEqual(self.live(table, late_s), [])
        table.update(announcement(2), late_s)
        self.assertEqual(self.live(table, late_s), ["i-1"])

    def test_repeated_connection_failures_pause_longer(self):
        """A backend server that keeps failing is chosen last for longer each time.

        One success ends the pause.
        """
        table = BackendTable()
        table.update(announcement(1), 1.0)
        backend = table.find("i-1")
        backend.note_connection_failure(10.0)
        first_s = backend.paused_until_s - 10.0
        backend.note_connection_failure(20.0)
        self.assertGreater(backend.paused_until_s - 20.0, first_s)
        backend.note_success(0.1)
        self.assertEqual(backend.paused_until_s, 0.0)
